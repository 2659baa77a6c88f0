#pragma once

#include "coordination/routing/answer_summary.hpp"
#include "coordination/routing/attempt_command.hpp"
#include "coordination/routing/refusal.hpp"
#include "coordination/routing/routing_decision.hpp"
#include "state/bill_record.hpp"
#include "state/claim_key.hpp"
#include "state/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace buckthorndale::coordination::routing {

/// The actions of the request engine. The service puts them into a ring; tests provide fakes.
template <typename Type>
concept router_port =
    requires(Type& port, state::request_handle request, state::attempt_handle attempt,
             const attempt_command& command, const refusal& why, const answer_summary& summary,
             const routing_decision& decision, const state::bill_record& bill, const state::claim_key& key,
             std::uint64_t nonce, state::content_fingerprint content,
             const std::vector<state::content_fingerprint>& suspects, const state::endpoint_id& endpoint) {
        /// Runs an attempt; replies through request_engine::attempt_ended.
        port.dispatch(command);
        /// Cancels an attempt; there is no reply.
        port.cancel(attempt);
        /// Requests a claim; replies through request_engine::claim_settled.
        port.claim(request, key, content);
        /// Reports that the call of a granted claim was not run and will not be.
        port.abandon_claim(key, nonce);
        /// Reports that the call of a granted claim may have run and that its outcome is lost.
        port.lose_claim(key, nonce);
        /// Reports that the call of a granted claim finished; the network worker adds the attempt's answer.
        port.finish_claim(key, nonce, request, attempt);
        /// Rates the answer of an attempt; replies through request_engine::rating_received.
        port.rate(request, attempt);
        /// Replicates a bill record; replies through request_engine::bill_recorded.
        port.record_bill(request, bill);
        /// Sends the held chunks of an attempt to the caller, without the end marker.
        port.release(request, attempt);
        /// Sends the end of the answer to the caller.
        port.finish(request, summary);
        /// Sends the stored outcome that was returned with a claim.
        port.replay(request);
        /// Sends a refusal, or an explicit error if chunks were already sent.
        port.refuse(request, why);
        /// Asks the agent to confirm the configuration; replies through request_engine::configure.
        port.refresh_configuration();
        /// Tells the other routers which contents were in flight when the endpoint crashed;
        /// replies through request_engine::suspects_announced.
        port.announce_suspects(endpoint, suspects);
        /// Tells the other routers that a suspect content was answered completely; there is no reply.
        port.announce_cleared(content);
        /// Writes a log line.
        port.log(decision);
    };

} // namespace buckthorndale::coordination::routing
