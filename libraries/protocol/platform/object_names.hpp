#pragma once

#include "coordination/billing/bill_segment.hpp"
#include "state/claim_key.hpp"
#include "state/identifiers.hpp"

#include <string>

/// Names of the system's objects in the platform's object API.
namespace buckthorndale::protocol::platform {

inline constexpr auto change_prefix = "configuration/changes/";
inline constexpr auto snapshot_name = "configuration/snapshot";
inline constexpr auto ledger_prefix = "ledger/";
inline constexpr auto claim_prefix = "claims/";

/// The name of a configuration change. The number is zero-padded, so that names sort by number.
auto change_name(state::generation number) -> std::string;

auto claim_name(const state::claim_key& key) -> std::string;

auto segment_name(const coordination::billing::bill_segment& segment) -> std::string;

} // namespace buckthorndale::protocol::platform
