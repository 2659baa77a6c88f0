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

/// The duty that speaks with operators: it checks who they are and hands their calls to the control duty.
class administration_duty {
public:
    using call_ring = transport::ring::bounded_ring<administration_call>;

    explicit administration_duty(const agent_settings& settings);

    auto connect(call_ring& control) -> void { control_ = &control; }

    auto start() -> void;
    auto stop() -> void;

    auto from_control() -> transport::ring::bounded_ring<administration_reply>& { return from_control_; }

private:
    /// An operator's call that waits for its reply.
    struct waiting_call;

    auto serve(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto authenticate(const transport::http::request& message) const -> std::string;
    auto take(administration_reply& reply) -> void;

    agent_settings settings_;
    transport::worker::worker duty_{"administration"};
    transport::http::server server_;
    transport::ring::bounded_ring<administration_reply> from_control_;
    call_ring* control_{nullptr};
    std::uint64_t last_number_{0};
    std::map<std::uint64_t, std::shared_ptr<waiting_call>> waiting_;
};

} // namespace buckthorndale::services::agent
