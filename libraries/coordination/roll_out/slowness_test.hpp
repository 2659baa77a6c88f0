#pragma once

#include "coordination/roll_out/time_histogram.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthorndale::coordination::roll_out {

enum class time_measure : std::uint8_t {
    /// From the request to the first byte of a stream.
    first_byte,
    /// The mean time between the events of a stream.
    between_events,
    /// From the request to an answer that is not a stream.
    whole,
};

/// Work that takes about the same time on one version.
struct work_kind {
    time_measure measure_{time_measure::whole};
    std::string route_;
    std::string model_;

    auto operator<=>(const work_kind&) const = default;
};

/// The times of both versions for one kind of work in the same period.
struct compared_times {
    time_histogram base_;
    /// By group of endpoints.
    std::map<std::int32_t, time_histogram> candidate_;
};

using compared_work = std::map<work_kind, compared_times>;

/// A fraction of the answers takes longer by a number of bins of a time_histogram; the others are as before.
struct slower_hypothesis {
    double share_{1.0};
    /// All numbers of bins in this range are equally likely.
    std::int32_t min_bins_{0};
    std::int32_t max_bins_{0};
    /// Whether a version is accepted only if there is enough evidence against this.
    bool must_be_excluded_{false};
};

inline constexpr auto slower_hypotheses =
    std::array{slower_hypothesis{.share_ = 1.0, .min_bins_ = 2, .max_bins_ = 4, .must_be_excluded_ = true},
               slower_hypothesis{.share_ = 1.0, .min_bins_ = 5, .max_bins_ = 7},
               slower_hypothesis{.share_ = 1.0, .min_bins_ = 8, .max_bins_ = 12, .must_be_excluded_ = true},
               slower_hypothesis{.share_ = 0.5, .min_bins_ = 4, .max_bins_ = 7, .must_be_excluded_ = true},
               slower_hypothesis{.share_ = 0.5, .min_bins_ = 8, .max_bins_ = 12},
               slower_hypothesis{.share_ = 0.25, .min_bins_ = 6, .max_bins_ = 9, .must_be_excluded_ = true},
               slower_hypothesis{.share_ = 0.25, .min_bins_ = 10, .max_bins_ = 14}};

using slowness_log_ratios = std::array<double, slower_hypotheses.size()>;

/// Adds up the log-likelihood ratios over the kinds of work with the measure, and over one route or, if it is
/// empty, all. Each kind is compared with the base version's distribution for the same kind. The groups of
/// endpoints that speak most for a hypothesis are left out: a slow endpoint is no evidence against a version.
auto log_ratios(const compared_work& work, time_measure measure, const std::string& route)
    -> slowness_log_ratios;

/// Follows the comparison of two versions through a roll-out. A cumulative sum for each hypothesis (Page
/// 1954) finds slowness that begins late, since the faster answers before do not count against it.
class slowness_test {
public:
    /// Replaces the compared times, which only grow unless reports of other instances are missing.
    auto update(const compared_work& work) -> void;

    auto is_slower() const -> bool;

    /// The log-likelihood ratio against the hypothesis that is least refuted, among those that must be.
    auto evidence_against() const -> double { return evidence_against_; }

    /// The number of times of the new version.
    auto answers() const -> std::int64_t { return candidate_total_; }

    /// Whether some hypothesis is more likely than none.
    auto is_suspected() const -> bool;

    /// Whether reports are missing that were there before.
    auto is_incomplete() const -> bool { return candidate_total_ < max_candidate_total_; }

private:
    struct cumulative_sum {
        double last_{0};
        double sum_{0};
    };

    struct comparison {
        std::int64_t candidate_total_{0};
        std::array<cumulative_sum, slower_hypotheses.size()> sums_{};
    };

    auto update_sums(comparison& known, const slowness_log_ratios& ratios, std::int64_t total) const -> void;

    /// By measure and route; the empty route stands for all.
    std::map<std::pair<time_measure, std::string>, comparison> comparisons_;
    std::int64_t candidate_total_{0};
    std::int64_t max_candidate_total_{0};
    double evidence_against_{0};
};

} // namespace buckthorndale::coordination::roll_out
