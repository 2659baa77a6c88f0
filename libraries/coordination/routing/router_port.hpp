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

/// What the request engine asks for. The service puts these calls into a ring; tests fake them.
template <typename Type>
concept router_port =
    requires(Type& port, state::request_handle request, state::attempt_handle attempt,
             const attempt_command& command, const refusal& why, const answer_summary& summary,
             const routing_decision& decision, const state::bill_record& bill, const state::claim_key& key,
             std::uint64_t nonce, state::content_fingerprint content,
             const std::vector<state::content_fingerprint>& suspects, const state::endpoint_id& endpoint) {
        /// Runs an attempt; answered by request_engine::attempt_ended.
        port.dispatch(command);
        /// Stops an attempt; no answer is expected.
        port.cancel(attempt);
        /// Asks for a claim; answered by request_engine::claim_settled.
        port.claim(request, key, content);
        /// Reports that a granted claim was not run and will not be.
        port.abandon_claim(key, nonce);
        /// Reports that a granted claim may have run and that its outcome is lost.
        port.lose_claim(key, nonce);
        /// Reports that a granted claim ran to its end; the network side adds the attempt's answer.
        port.finish_claim(key, nonce, request, attempt);
        /// Rates the held answer of an attempt; answered by request_engine::rated.
        port.rate(request, attempt);
        /// Spreads a bill record; answered by request_engine::bill_recorded.
        port.record_bill(request, bill);
        /// Gives out the held pieces of an attempt, without the end mark.
        port.release(request, attempt);
        /// Gives out the end of the answer.
        port.finish(request, summary);
        /// Gives out the stored outcome that came with a claim.
        port.replay(request);
        /// Gives out a refusal, or an explicit error when pieces were given out before.
        port.refuse(request, why);
        /// Asks the agent to confirm the configuration; answered by request_engine::configure.
        port.refresh_configuration();
        /// Tells the other routers which contents were in flight when the endpoint crashed;
        /// answered by request_engine::suspects_announced.
        port.announce_suspects(endpoint, suspects);
        /// Tells the other routers that a suspect was answered whole; no answer is expected.
        port.announce_cleared(content);
        /// Writes a log line.
        port.log(decision);
    };

} // namespace buckthorndale::coordination::routing
