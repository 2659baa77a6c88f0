#pragma once

namespace buckthorndale::coordination::roll_out {

/// Pseudo-counts of the prior distribution (beta) of the rate of bad answers.
inline constexpr auto prior_good_answers = 9.0;
inline constexpr auto prior_bad_answers = 1.0;
inline constexpr auto prior_answers = prior_good_answers + prior_bad_answers;

/// The posterior mean of the rate of bad answers, from 0 to 1, after these numbers of good and bad answers.
constexpr auto expected_bad_rate(double good, double bad) -> double
{
    return (bad + prior_bad_answers) / (good + bad + prior_answers);
}

} // namespace buckthorndale::coordination::roll_out
