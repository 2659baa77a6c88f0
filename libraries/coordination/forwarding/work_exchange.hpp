#pragma once

#include "coordination/forwarding/endpoint_sum_exchange.hpp"
#include "coordination/forwarding/endpoint_work.hpp"

namespace buckthorndale::coordination::forwarding {

/// The work queued at endpoints as a router reports it.
using work_report = endpoint_sum_report<endpoint_work>;

/// Adds up the work that the routers have queued at each endpoint.
using work_exchange = endpoint_sum_exchange<endpoint_work>;

} // namespace buckthorndale::coordination::forwarding
