#pragma once

#include "agent/administration_call.hpp"
#include "agent/agent_settings.hpp"
#include "transport/http/server.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/worker/worker.hpp"

#include <map>
#include <memory>
#include <string>

namespace buckthorndale::services::agent {

/// Worker thread that serves the administration API: authenticates operators and forwards their calls to the
/// control worker.
class administration_worker {
public:
    using call_ring = transport::ring::bounded_ring<administration_call>;

    explicit administration_worker(const agent_settings& settings);

    auto connect(call_ring& control) -> void { control_ = &control; }

    auto start() -> void;
    auto stop() -> void;

    auto from_control() -> transport::ring::bounded_ring<administration_reply>& { return from_control_; }

private:
    /// A call whose reply from the control worker is outstanding.
    struct pending_call;

    auto serve(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto authenticate(const transport::http::request& message) const -> std::string;
    auto process(administration_reply& reply) -> void;

    agent_settings settings_;
    transport::worker::worker worker_{"administration"};
    transport::http::server server_;
    transport::ring::bounded_ring<administration_reply> from_control_;
    call_ring* control_{nullptr};
    std::uint64_t last_number_{0};
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending_calls_;
};

} // namespace buckthorndale::services::agent
