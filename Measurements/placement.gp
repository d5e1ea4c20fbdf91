# Draws docs/placement-curve.svg from the curves that MeasurePlacement prints;
# Measurements/plot-placement runs it.
set terminal svg size 760,480 font "sans,12"
set output "docs/placement-curve.svg"
set title "Placement: skew against bytes moved, 32 ranks, 3 slots, 16,384 tokens a step"
set xlabel "GB loaded per layer in 6 hours"
set ylabel "mean of slowest rank over mean rank"
set yrange [1:2]
set xrange [-0.3:*]
set key top right
data = "Build/placement-curve.dat"
set arrow from graph 0, first 1.091 to graph 1, first 1.091 nohead dashtype 2 linecolor "gray"
set label "noise floor 1.091" at graph 0.75, first 1.07
plot \
  data index 0 using 4:2 with linespoints pointsize 0.3 linecolor 1 title "slow drift", \
  data index 1 using 4:2 with linespoints pointsize 0.3 linecolor 2 title "sudden swap", \
  data index 2 using 4:2 with linespoints pointsize 0.3 linecolor 3 title "night before term", \
  data index 3 using 4:2 with linespoints pointsize 0.3 linecolor 4 title "noise, no drift", \
  for [i=0:3] data index i using ($1 == 0.8 ? $4 : NaN):2 with points pointtype 7 pointsize 1.1 linecolor i+1 title (i == 0 ? "Fotorechnung, skew\\_weight 0.8" : ""), \
  for [i=0:3] data index i using ($1 == 0.2 ? $4 : NaN):2 with points pointtype 5 pointsize 1.1 linecolor i+1 title (i == 0 ? "Ikigo, skew\\_weight 0.2" : "")
