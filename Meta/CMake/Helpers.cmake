# Adds a static library from all source files of its folder.
function(bramleyspan_library name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC ${ARG_LINK})
  set_property(GLOBAL APPEND PROPERTY BRAMLEYSPAN_LIBRARIES ${name})
endfunction()

# Adds the test program of a library from all source files of its folder.
function(bramleyspan_test name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name} ${sources} ${CMAKE_SOURCE_DIR}/Tests/Main.cc)
  target_link_libraries(${name} PRIVATE ${ARG_LINK} rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
