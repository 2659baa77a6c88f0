#include "world/random_simulation.hpp"

#include "state/invariant.hpp"

#include <algorithm>
#include <array>

// Fault injection; part of random_simulation.

namespace buckthorndale::tests::world {

namespace {

constexpr auto max_fault_interval = std::uint64_t{3'000'000};
/// The longest time until a bill is written: a backup's wait before it writes the bill itself, plus the
/// longest outage of a run.
constexpr auto max_unwritten_time = state::duration{std::chrono::seconds{20}};

auto key(const std::string& text) -> state::version_key
{
    return state::version_key_from_text(text);
}

auto affects_routers(fault_kind kind) -> bool
{
    switch (kind) {
    case fault_kind::kill_instance:
    case fault_kind::freeze_instance:
    case fault_kind::cut_both_ways:
    case fault_kind::cut_one_way:
    case fault_kind::data_centre_cut_off:
    case fault_kind::graceful_shutdown:
        return true;
    default:
        return false;
    }
}

} // namespace

auto to_string(fault_kind kind) -> std::string
{
    constexpr auto names = std::array<std::string_view, fault_kind_count>{
        "kill",           "freeze",           "cut both ways",       "cut one way",
        "silent",         "platform down",    "platform slow",       "answers lost",
        "operators race", "endpoint crash",   "endpoint leaves",     "crashing request",
        "stream breaks",  "withdrawal",       "data centre cut off", "graceful stop",
        "pool full",      "version turns bad"};
    return std::string{names.at(static_cast<std::size_t>(kind))};
}

auto random_simulation::schedule_faults() -> void
{
    context_.time_.after(
        state::duration{static_cast<state::duration::rep>(context_.random_.below(max_fault_interval))},
        [this] {
            if (!is_injecting_)
                return;
            inject(static_cast<fault_kind>(context_.random_.below(fault_kind_count)));
            schedule_faults();
        });
}

auto random_simulation::inject(fault_kind kind) -> void
{
    context_.coverage_.count("fault-" + to_string(kind));
    context_.append_trace("fault " + to_string(kind));
    had_router_faults_ = had_router_faults_ || affects_routers(kind);
    const auto time =
        state::duration{static_cast<state::duration::rep>(500'000 + context_.random_.below(6'000'000))};
    auto& faults = context_.faults_;
    switch (kind) {
    case fault_kind::kill_instance:
        kill_random_instance(time);
        return;
    case fault_kind::freeze_instance: {
        auto& instance = random_instance();
        if (instance.is_alive() && !instance.is_frozen())
            instance.freeze(time);
        return;
    }
    case fault_kind::cut_both_ways:
        cut_link(random_instance().id().text(), random_endpoint().id().text(), true, time);
        return;
    case fault_kind::cut_one_way:
        cut_link(random_instance().id().text(),
                 context_.random_.chance(0.5) ? random_instance().id().text() : platform_name, false, time);
        return;
    case fault_kind::silent_connections:
        random_endpoint().go_silent();
        return;
    case fault_kind::platform_down:
        faults.is_platform_down_ = true;
        context_.time_.after(time, [&faults] { faults.is_platform_down_ = false; });
        return;
    case fault_kind::platform_slow:
        faults.is_platform_slow_ = true;
        context_.time_.after(time, [&faults] { faults.is_platform_slow_ = false; });
        return;
    case fault_kind::answers_lost:
        faults.lost_answers_ = 0.5;
        context_.time_.after(time, [&faults] { faults.lost_answers_ = 0; });
        return;
    case fault_kind::operators_race:
        race_operators();
        return;
    case fault_kind::endpoint_crash: {
        auto& endpoint = random_endpoint();
        endpoint.crash();
        context_.time_.after(time, [&endpoint] { endpoint.restart(); });
        return;
    }
    case fault_kind::endpoint_leaves:
        drain_random_endpoint(time);
        return;
    case fault_kind::crashing_request:
        // Requests that crash endpoints are part of the random traffic.
        return;
    case fault_kind::stream_breaks:
        random_endpoint().break_one_stream();
        return;
    case fault_kind::version_withdrawn:
        if (context_.random_.chance(0.1))
            withdraw(key("small@2"));
        return;
    case fault_kind::data_centre_cut_off:
        isolate_data_centre(time);
        return;
    case fault_kind::graceful_shutdown:
        stop_random_instance(time);
        return;
    case fault_kind::pool_full:
        fill_pool(time);
        return;
    case fault_kind::version_turns_bad:
        faults.bad_version_ = key("small@2");
        context_.time_.after(time, [&faults] { faults.bad_version_.reset(); });
        return;
    }
}

auto random_simulation::restart_after(simulated_instance& instance, state::duration time) -> void
{
    context_.time_.after(time, [&instance] {
        if (!instance.is_alive())
            instance.start();
    });
}

auto random_simulation::kill_random_instance(state::duration time) -> void
{
    auto& instance = random_instance();
    if (!instance.is_alive() || !may_kill())
        return;
    recent_kills_.push_back(context_.time_.now());
    instance.kill();
    restart_after(instance, time);
}

auto random_simulation::stop_random_instance(state::duration time) -> void
{
    auto& instance = random_instance();
    if (!instance.is_alive() || instance.is_leaving())
        return;
    instance.begin_shutdown();
    restart_after(instance, time + std::chrono::seconds{40});
}

auto random_simulation::drain_random_endpoint(state::duration time) -> void
{
    auto& endpoint = random_endpoint();
    if (endpoint.is_leaving())
        return;
    endpoint.begin_leaving();
    publish_list_later();
    context_.time_.after(time + std::chrono::seconds{10}, [this, &endpoint] {
        endpoint.cancel_leaving();
        publish_list_later();
    });
}

auto random_simulation::fill_pool(state::duration time) -> void
{
    const auto inside = state::data_centre_id{data_centres.at(context_.random_.below(data_centres.size()))};
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->description().data_centre_ != inside)
            continue;
        endpoint->mark_full(true);
        context_.time_.after(time, [&filled = *endpoint] { filled.mark_full(false); });
    }
}

auto random_simulation::inject_at_step(fault_kind kind) -> void
{
    // inject() leaves these two faults to chance or to the traffic; the matrix needs them every time.
    if (kind == fault_kind::version_withdrawn) {
        withdraw(key("small@2"));
        return;
    }
    if (kind == fault_kind::crashing_request) {
        callers_.begin_poison_request();
        return;
    }
    targets_step_instance_ = true;
    inject(kind);
    targets_step_instance_ = false;
}

auto random_simulation::isolate_and_kill_at_step() -> void
{
    constexpr auto cut_time = state::duration{std::chrono::seconds{1}};
    constexpr auto time_until_kill = state::duration{std::chrono::milliseconds{60}};
    targets_step_instance_ = true;
    auto& instance = random_instance();
    targets_step_instance_ = false;
    cut_link(instance.id().text(), platform_name, true, cut_time);
    for (const auto& [id, other] : instances_)
        cut_link(instance.id().text(), id.text(), true, cut_time);
    context_.time_.after(time_until_kill, [&instance] { instance.kill(); });
}

auto random_simulation::crash_engines(state::duration time) -> void
{
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->description().kind_ != state::endpoint_kind::engine)
            continue;
        endpoint->crash();
        context_.time_.after(time, [target = endpoint.get()] { target->restart(); });
    }
}

auto random_simulation::withdraw(const state::version_key& version) -> void
{
    if (context_.faults_.is_platform_down_ || withdrawn_at_.contains(version))
        return;
    context_.coverage_.count("withdrawal");
    context_.append_trace("withdraw " + version.text());
    change_configuration(state::version_settings{.key_ = version,
                                                 .state_ = state::version_state::withdrawn,
                                                 .price_per_thousand_tokens_ = state::micro_credits{1000},
                                                 .expected_quality_ = state::permille{700}});
    withdrawn_at_[version] = context_.time_.now();
}

auto random_simulation::random_instance() -> simulated_instance&
{
    // In the fault matrix, the fault hits the instance that reached the step.
    if (const auto* target = find_step_instance())
        return *instances_.at(target->id());
    auto found = instances_.begin();
    std::advance(found, static_cast<std::ptrdiff_t>(context_.random_.below(instances_.size())));
    return *found->second;
}

auto random_simulation::find_step_instance() const -> const simulated_instance*
{
    if (!targets_step_instance_)
        return nullptr;
    for (const auto& [id, instance] : instances_) {
        if (step_trace_line_.find(" " + id.text() + " ") != std::string::npos)
            return instance.get();
    }
    return nullptr;
}

auto random_simulation::random_endpoint() -> fake_endpoint&
{
    auto found = endpoints_.begin();
    std::advance(found, static_cast<std::ptrdiff_t>(context_.random_.below(endpoints_.size())));
    return *found->second;
}

auto random_simulation::may_kill() -> bool
{
    // Three instances hold each bill until it is written, so at most two may be killed within that time.
    while (!recent_kills_.empty() && recent_kills_.front() + max_unwritten_time < context_.time_.now())
        recent_kills_.pop_front();
    return recent_kills_.size() < 2;
}

auto random_simulation::cut_link(const std::string& one, const std::string& other, bool is_both_ways,
                                 state::duration time) -> void
{
    if (one == other)
        return;
    auto& cuts = context_.faults_.cuts_;
    cuts.insert({one, other});
    if (is_both_ways)
        cuts.insert({other, one});
    last_cut_end_ = std::max(last_cut_end_, context_.time_.now() + time);
    context_.time_.after(time, [&cuts, one, other] {
        cuts.erase({one, other});
        cuts.erase({other, one});
    });
}

auto random_simulation::isolate_data_centre(state::duration time) -> void
{
    const auto inside = state::data_centre_id{data_centres.at(context_.random_.below(data_centres.size()))};
    for (auto& [id, instance] : instances_) {
        if (instance->data_centre() != inside)
            continue;
        cut_link(id.text(), platform_name, true, time);
        for (auto& [other_id, other] : instances_) {
            if (other->data_centre() != inside)
                cut_link(id.text(), other_id.text(), true, time);
        }
    }
}

auto random_simulation::race_operators() -> void
{
    // Both changes are based on the same generation; the platform accepts only one change per generation.
    const auto latest = platform_configuration();
    auto winners = 0;
    for (const auto* author : {"first", "second"}) {
        auto profile = *latest->find_profile(state::profile_name{"quick"});
        profile.deadline_ += std::chrono::milliseconds{1};
        const auto change =
            state::configuration_change{.generation_ = latest->generation_.next(),
                                        .id_ = state::change_id{author + std::to_string(++last_change_)},
                                        .author_ = author,
                                        .previous_chain_ = latest->chain_,
                                        .content_ = profile};
        if (!context_.platform_.create_change(change))
            continue;
        ++winners;
        accepted_changes_.push_back(change.id_);
    }
    state::verify(winners == 1, state::guarantee::configuration_moves_forward,
                  "exactly one of two concurrent changes must be accepted");
}

} // namespace buckthorndale::tests::world
