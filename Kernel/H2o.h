// The one place that includes h2o, whose headers are C.
#pragma once

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/socket.h>
}
