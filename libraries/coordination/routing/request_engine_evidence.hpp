#pragma once

// Evidence on versions: samples, their ratings and halts; part of request_engine.hpp.

#include "coordination/routing/request_engine.hpp"

#include <utility>

namespace buckthorndale::coordination::routing {

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::is_sampled(const request_entry& entry,
                                                     const state::version_key& version) -> bool
{
    const auto& description = entry.description_;
    // A resumed attempt holds only part of the answer, so it cannot be rated.
    if (description.target_ != state::target_kind::model || entry.resume_offset_ > 0)
        return false;
    const auto* roll_out = configuration_->find_roll_out(version.model_);
    const auto is_new = roll_out != nullptr && roll_out->state_ == state::roll_out_state::running &&
                        version == roll_out->to_key();
    constexpr auto resolution = std::uint64_t{1'000'000};
    const auto point = static_cast<double>(random_.next() % resolution) / static_cast<double>(resolution);
    return is_new || guard_.is_suspicious(version) || point < settings_.sample_rate_;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::sample_answer(const request_entry& entry) -> void
{
    const auto& attempt = *entry.attempt_;
    if (!attempt.is_sampled_)
        return;
    const auto target = target_of(entry);
    if (target == state::permille{}) {
        record_quality(attempt.version_, entry.description_.profile_, true);
        return;
    }
    samples_.open(attempt.handle_, {.subject_ = rate_key_of(entry),
                                    .profile_ = entry.description_.profile_,
                                    .target_ = target,
                                    .requested_at_ = clock_.now()});
    port_.rate(entry.handle_, attempt.handle_);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::evaluate_sample(const quality_sample& sample,
                                                          std::optional<state::permille> rating) -> void
{
    if (!rating)
        return;
    const auto has_passed = *rating >= sample.target_;
    rates_.record(sample.subject_, has_passed);
    record_quality(sample.subject_.version_, sample.profile_, has_passed);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::rate_key_of(const request_entry& entry) -> cascade::pass_rate_key
{
    return {.workspace_ = entry.description_.workspace_,
            .request_type_ = entry.description_.request_type_,
            .version_ = entry.attempt_->version_};
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::record_quality(const state::version_key& version,
                                                         const state::profile_name& profile, bool is_good)
    -> void
{
    guard_.record(version, is_good);
    const auto* roll_out = configuration_->find_roll_out(version.model_);
    if (roll_out == nullptr || roll_out->state_ != state::roll_out_state::running)
        return;
    const auto* settings = configuration_->find_profile(profile);
    const auto emphasis = settings != nullptr ? settings->emphasis_ : state::roll_out_emphasis::exposure;
    const auto was_halted = guard_.is_halted(roll_out->to_key());
    const auto verdict = guard_.judge_roll_out(*roll_out, emphasis);
    if (verdict == roll_out::sequential_test_verdict::worse && !was_halted)
        log_halt(roll_out->to_key(), "worse than the version it replaces");
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::log_halt(const state::version_key& version, std::string reason)
    -> void
{
    port_.log({.request_ = {},
               .workspace_ = {},
               .action_ = "halt",
               .choice_ = version.text(),
               .candidates_ = 1,
               .reason_ = std::move(reason)});
}

} // namespace buckthorndale::coordination::routing
