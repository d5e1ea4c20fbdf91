#include "Kernel/SocketBytes.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace bramleyspan {

namespace {

size_t Ask(int descriptor, unsigned long request) {
  int bytes = 0;
  return ioctl(descriptor, request, &bytes) == 0 ? static_cast<size_t>(bytes)
                                                 : 0;
}

}  // namespace

size_t UnreadBytes(int descriptor) {
  return Ask(descriptor, FIONREAD);
}

size_t UnacknowledgedBytes(int descriptor) {
  return Ask(descriptor, SIOCOUTQ);
}

}  // namespace bramleyspan
