// Includes the C headers of h2o. Other files include this header instead.
#pragma once

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/socket.h>
}
