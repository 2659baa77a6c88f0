#pragma once

#include "state/roll_out.hpp"

namespace buckthorndale::coordination::roll_out {

/// The roll-out after its next step: with the next larger share, or complete after the largest.
auto next_step(const state::roll_out& before) -> state::roll_out;

/// The roll-out after its new version proved worse: halted, with a share of zero.
auto halted(const state::roll_out& before) -> state::roll_out;

} // namespace buckthorndale::coordination::roll_out
