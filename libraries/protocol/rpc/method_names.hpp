#pragma once

namespace buckthorndale::protocol::rpc {

/// The path of the RPC service on the control addresses.
inline constexpr auto path = "/rpc";

// Methods of the agent.
inline constexpr auto hello = "hello";
inline constexpr auto gossip = "gossip";
inline constexpr auto learn = "learn";
inline constexpr auto hold_bill = "hold_bill";
inline constexpr auto bills_written = "bills_written";
inline constexpr auto claim = "claim";
inline constexpr auto claim_ended = "claim_ended";
inline constexpr auto claim_state = "claim_state";
inline constexpr auto add_evidence = "add_evidence";
inline constexpr auto swap_evidence = "swap_evidence";

// Methods of the router.
inline constexpr auto poke = "poke";
inline constexpr auto claim_settled = "claim_settled";
inline constexpr auto learn_suspects = "learn_suspects";

} // namespace buckthorndale::protocol::rpc
