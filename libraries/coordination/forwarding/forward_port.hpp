#pragma once

#include "coordination/forwarding/cleared_part.hpp"
#include "coordination/forwarding/crash_notice.hpp"
#include "coordination/forwarding/endpoint_notice.hpp"
#include "coordination/forwarding/forward_command.hpp"
#include "coordination/forwarding/forward_log.hpp"
#include "coordination/forwarding/limit_message.hpp"
#include "coordination/routing/refusal.hpp"
#include "coordination/suspicion/blocked_part.hpp"
#include "state/identifiers.hpp"
#include "state/network_address.hpp"

#include <string>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// The operations that the forward engine needs from the network thread; tests substitute a fake.
template <typename Type>
concept forward_port = requires(
    Type& port, state::request_handle request, state::attempt_handle attempt, const forward_command& command,
    const routing::refusal& why, const forward_log& line, const crash_notice& crash,
    const std::vector<cleared_part>& cleared, const std::vector<suspicion::blocked_part>& blocked,
    const leaving_endpoint& leaving, const limit_message& limits, const state::instance_id& instance,
    const state::endpoint_id& endpoint, const state::network_address& address, const std::string& path) {
    /// Starts an attempt; its end is reported through forward_engine::attempt_ended.
    port.dispatch(command);
    /// Cancels an attempt; its end is not reported.
    port.cancel(attempt);
    /// Forwards the response of a held attempt to the caller.
    port.release(request, attempt);
    /// Completes the caller's response with that of the attempt.
    port.finish(request, attempt);
    /// Sends a refusal to the caller, or aborts the response if events were already delivered.
    port.refuse(request, why);
    /// Announces to the other instances that a request may have crashed an endpoint.
    port.announce_crash(crash);
    /// Announces to the other instances that answers on suspected parts of prompts began and went on.
    port.announce_cleared_parts(cleared);
    /// Announces to the other instances which parts of prompts crash endpoints.
    port.announce_blocked_parts(blocked);
    /// Announces to the other instances that an endpoint is shutting down.
    port.announce_leaving(leaving);
    /// Tells the other instances of a limit or a decline of an endpoint.
    port.announce_limits(limits);
    /// Asks a few other instances for permits.
    port.ask_for_permits(limits);
    /// Answers another instance.
    port.send_limits(instance, limits);
    /// Asks an endpoint for an answer to a request of that path, which it runs no work for; the result is
    /// reported through forward_engine::endpoint_probed.
    port.probe(endpoint, address, path);
    /// Asks an address for the name of the endpoint that answers a request of that path; the result is
    /// reported through forward_engine::endpoint_identified.
    port.identify(endpoint, address, path);
    port.log(line);
};

} // namespace buckthorndale::coordination::forwarding
