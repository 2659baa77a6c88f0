#include "coordination/routing/version_selector.hpp"

#include "state/stable_hash.hpp"

#include <algorithm>
#include <cstdint>

namespace buckthorndale::coordination::routing {

namespace {

constexpr auto tokens_per_price = 1000.0;

auto expected_cost(const state::version_settings& settings, const version_statistics& statistics) -> double
{
    const auto price = static_cast<double>(settings.price_per_thousand_tokens_.value());
    return price * statistics.mean_tokens(settings.key_) / tokens_per_price;
}

/// Whether versions with an active quality alarm are excluded.
enum class alarm_policy : std::uint8_t { apply, ignore };

/// Whether an alarm, or a roll-out of the version's model, excludes the version for this request.
auto is_excluded(const request_entry& request, const selection_context& context,
                 const state::profile& profile, const state::version_key& key, alarm_policy policy) -> bool
{
    const auto is_alarmed = [&](const state::version_key& version) {
        return policy == alarm_policy::apply && context.guard_.is_alarmed(version);
    };
    const auto* roll_out = context.configuration_.find_roll_out(key.model_);
    if (roll_out == nullptr)
        return context.guard_.is_halted(key) || is_alarmed(key);
    const auto is_from = key == roll_out->from_key();
    const auto is_to = key == roll_out->to_key();
    if (!is_from && !is_to)
        return false;
    const auto is_stopped = roll_out->state_ == state::roll_out_state::halted ||
                            context.guard_.is_halted(roll_out->to_key()) || is_alarmed(roll_out->to_key());
    const auto has_both = profile.lists(roll_out->from_key()) && profile.lists(roll_out->to_key());
    if (!has_both)
        return is_to && is_stopped;
    const auto goes_to_new = !is_stopped && is_in_share(request, *roll_out);
    return goes_to_new ? is_from : is_to;
}

/// The profile's versions that accept new requests, in the profile's order.
auto listed_versions(const request_entry& request, const selection_context& context,
                     const state::profile& profile, alarm_policy policy) -> std::vector<state::version_key>
{
    auto open = std::vector<state::version_key>{};
    for (const auto& key : profile.versions_) {
        const auto* settings = context.configuration_.find_version(key);
        if (settings == nullptr || settings->state_ != state::version_state::serving)
            continue;
        if (!is_excluded(request, context, profile, key, policy))
            open.push_back(key);
    }
    return open;
}

auto pinned_choice(const request_entry& request, const selection_context& context,
                   const state::profile& profile) -> std::optional<version_choice>
{
    const auto& pin = request.description_.pin_;
    if (!pin || !context.applies_pins_ || !context.configuration_.is_allowed(profile, pin->version_))
        return std::nullopt;
    return version_choice{.version_ = pin->version_, .candidates_ = 1, .reason_ = "session pin"};
}

auto build_steps(const request_entry& request, const selection_context& context,
                 const state::profile& profile) -> std::vector<cascade::cascade_step>
{
    auto steps = std::vector<cascade::cascade_step>{};
    for (const auto& key : open_versions(request, context)) {
        if (request.versions_below_target_.contains(key))
            continue;
        const auto& settings = *context.configuration_.find_version(key);
        const auto rate_key = cascade::pass_rate_key{.workspace_ = request.description_.workspace_,
                                                     .request_type_ = request.description_.request_type_,
                                                     .version_ = key};
        const auto rate = profile.quality_target_ > state::permille{}
                              ? context.rates_.estimate(rate_key, settings.expected_quality_)
                              : 1.0;
        steps.push_back({.version_ = key,
                         .expected_cost_ = expected_cost(settings, context.statistics_),
                         .expected_time_ = context.statistics_.mean_time(key),
                         .pass_rate_ = rate});
    }
    return steps;
}

auto cost_so_far(const request_entry& request) -> state::micro_credits
{
    auto sum = state::micro_credits{};
    for (const auto& part : request.parts_)
        sum += part.cost_;
    return sum;
}

/// After a rating below the target, only better versions are considered: those that cost at least as much
/// as the ones that failed.
auto drop_cheaper_than_failed(const request_entry& request, const selection_context& context,
                              std::vector<cascade::cascade_step>& steps) -> void
{
    auto max_failed_cost = 0.0;
    for (const auto& key : request.versions_below_target_) {
        const auto* settings = context.configuration_.find_version(key);
        if (settings != nullptr)
            max_failed_cost = std::max(max_failed_cost, expected_cost(*settings, context.statistics_));
    }
    std::erase_if(steps, [&](const auto& step) { return step.expected_cost_ < max_failed_cost; });
}

auto drop_over_cost_limit(const request_entry& request, const state::profile& profile,
                          std::vector<cascade::cascade_step>& steps) -> void
{
    if (profile.cost_limit_ <= state::micro_credits{})
        return;
    const auto remaining = static_cast<double>((profile.cost_limit_.value() - cost_so_far(request).value()));
    std::erase_if(steps, [&](const auto& step) { return step.expected_cost_ > remaining; });
}

auto cascade_choice_for(const request_entry& request, const selection_context& context,
                        const state::profile& profile) -> std::optional<version_choice>
{
    auto steps = build_steps(request, context, profile);
    drop_cheaper_than_failed(request, context, steps);
    drop_over_cost_limit(request, profile, steps);
    const auto plan = cascade::plan_cascade(steps, request.deadline_ - context.now_);
    if (!plan)
        return std::nullopt;
    const auto can_rate = plan->may_escalate_ && profile.quality_target_ > state::permille{};
    return version_choice{.version_ = steps[plan->step_].version_,
                          .may_escalate_ = can_rate,
                          .candidates_ = steps.size(),
                          .reason_ =
                              request.versions_below_target_.empty() ? "least expected cost" : "escalation"};
}

} // namespace

auto select_version(const request_entry& request, const selection_context& context)
    -> std::optional<version_choice>
{
    const auto* profile = context.configuration_.find_profile(request.description_.profile_);
    if (profile == nullptr)
        return std::nullopt;
    if (request.resume_version_) {
        if (!context.configuration_.is_allowed(*profile, *request.resume_version_))
            return std::nullopt;
        return version_choice{.version_ = *request.resume_version_, .candidates_ = 1, .reason_ = "resume"};
    }
    if (auto pinned = pinned_choice(request, context, *profile))
        return pinned;
    return cascade_choice_for(request, context, *profile);
}

auto open_versions(const request_entry& request, const selection_context& context)
    -> std::vector<state::version_key>
{
    const auto* profile = context.configuration_.find_profile(request.description_.profile_);
    if (profile == nullptr)
        return {};
    auto open = listed_versions(request, context, *profile, alarm_policy::apply);
    // An alarm moves requests to other versions; if there is no other version, the alarm is ignored rather
    // than refusing the request.
    if (open.empty())
        open = listed_versions(request, context, *profile, alarm_policy::ignore);
    const auto by_cost = [&](const state::version_key& left, const state::version_key& right) {
        return expected_cost(*context.configuration_.find_version(left), context.statistics_) <
               expected_cost(*context.configuration_.find_version(right), context.statistics_);
    };
    std::ranges::stable_sort(open, by_cost);
    return open;
}

auto is_in_share(const request_entry& request, const state::roll_out& roll_out) -> bool
{
    if (roll_out.state_ == state::roll_out_state::complete)
        return true;
    const auto& session = request.description_.session_;
    const auto& text = session.is_empty() ? request.description_.id_.text() : session.text();
    // The new version's key seeds the hash, so that different roll-outs start with different sessions.
    const auto seed = state::stable_hash(roll_out.to_key().text());
    const auto point = state::stable_hash(text, seed) % static_cast<std::uint64_t>(state::full_share.value());
    return static_cast<std::int64_t>(point) < roll_out.share_.value();
}

} // namespace buckthorndale::coordination::routing
