#pragma once

#include "coordination/forwarding/forward_command.hpp"
#include "coordination/forwarding/forward_log.hpp"
#include "coordination/routing/refusal.hpp"
#include "state/identifiers.hpp"

namespace buckthorndale::coordination::forwarding {

/// What the forward engine asks of the network side; tests fake it.
template <typename Type>
concept forward_port =
    requires(Type& port, state::request_handle request, state::attempt_handle attempt,
             const forward_command& command, const routing::refusal& why, const forward_log& line,
             const state::endpoint_id& endpoint, state::content_fingerprint content) {
        /// Runs an attempt; answered by forward_engine::attempt_ended.
        port.dispatch(command);
        /// Stops an attempt; no answer is expected.
        port.cancel(attempt);
        /// Gives out what a held attempt brings.
        port.release(request, attempt);
        /// Ends the caller's answer with what the attempt brought.
        port.finish(request, attempt);
        /// Ends the caller's answer with a refusal, or breaks it off when events were given out before.
        port.refuse(request, why);
        /// Tells the other instances that content was in flight when an endpoint crashed.
        port.announce_crash(endpoint, content);
        /// Writes a log line.
        port.log(line);
    };

} // namespace buckthorndale::coordination::forwarding
