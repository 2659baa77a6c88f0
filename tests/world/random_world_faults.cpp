#include "world/random_world.hpp"

#include "state/invariant.hpp"

#include <algorithm>
#include <array>

// The faults of a run; part of random_world.hpp.

namespace buckthorndale::tests::world {

namespace {

constexpr auto fault_pause = std::uint64_t{3'000'000};
/// The longest time that a bill may be unwritten: a backup's patience, and the longest outage of a run.
constexpr auto unwritten_time = state::duration{std::chrono::seconds{20}};

auto key(const std::string& text) -> state::version_key
{
    return state::version_key_from_text(text);
}

auto disturbs_routers(fault_kind kind) -> bool
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

auto random_world::schedule_faults() -> void
{
    shared_.time_.after(
        state::duration{static_cast<state::duration::rep>(shared_.random_.below(fault_pause))}, [this] {
            if (!is_injecting_)
                return;
            inject(static_cast<fault_kind>(shared_.random_.below(fault_kind_count)));
            schedule_faults();
        });
}

auto random_world::inject(fault_kind kind) -> void
{
    shared_.exercised_.count("fault-" + to_string(kind));
    shared_.note("fault " + to_string(kind));
    is_disturbed_ = is_disturbed_ || disturbs_routers(kind);
    const auto time =
        state::duration{static_cast<state::duration::rep>(500'000 + shared_.random_.below(6'000'000))};
    auto& faults = shared_.faults_;
    switch (kind) {
    case fault_kind::kill_instance:
        kill_any(time);
        return;
    case fault_kind::freeze_instance: {
        auto& node = any_node();
        if (node.is_alive() && !node.is_frozen())
            node.freeze(time);
        return;
    }
    case fault_kind::cut_both_ways:
        cut(any_node().id().text(), any_endpoint().id().text(), true, time);
        return;
    case fault_kind::cut_one_way:
        cut(any_node().id().text(), shared_.random_.chance(0.5) ? any_node().id().text() : platform_name,
            false, time);
        return;
    case fault_kind::silent_connections:
        any_endpoint().go_silent();
        return;
    case fault_kind::platform_down:
        faults.is_platform_down_ = true;
        shared_.time_.after(time, [&faults] { faults.is_platform_down_ = false; });
        return;
    case fault_kind::platform_slow:
        faults.is_platform_slow_ = true;
        shared_.time_.after(time, [&faults] { faults.is_platform_slow_ = false; });
        return;
    case fault_kind::answers_lost:
        faults.lost_answers_ = 0.5;
        shared_.time_.after(time, [&faults] { faults.lost_answers_ = 0; });
        return;
    case fault_kind::operators_race:
        race_operators();
        return;
    case fault_kind::endpoint_crash: {
        auto& endpoint = any_endpoint();
        endpoint.crash();
        shared_.time_.after(time, [&endpoint] { endpoint.restart(); });
        return;
    }
    case fault_kind::endpoint_leaves:
        let_any_endpoint_leave(time);
        return;
    case fault_kind::crashing_request:
        // Poison requests come with the traffic.
        return;
    case fault_kind::stream_breaks:
        any_endpoint().break_one();
        return;
    case fault_kind::version_withdrawn:
        if (shared_.random_.chance(0.1))
            withdraw(key("small@2"));
        return;
    case fault_kind::data_centre_cut_off:
        cut_off_data_centre(time);
        return;
    case fault_kind::graceful_shutdown:
        stop_any(time);
        return;
    case fault_kind::pool_full:
        fill_pool(time);
        return;
    case fault_kind::version_turns_bad:
        faults.bad_version_ = key("small@2");
        shared_.time_.after(time, [&faults] { faults.bad_version_.reset(); });
        return;
    }
}

auto random_world::start_again_after(world_node& node, state::duration time) -> void
{
    shared_.time_.after(time, [&node] {
        if (!node.is_alive())
            node.start();
    });
}

auto random_world::kill_any(state::duration time) -> void
{
    auto& node = any_node();
    if (!node.is_alive() || !may_kill())
        return;
    last_kills_.push_back(shared_.time_.now());
    node.kill();
    start_again_after(node, time);
}

auto random_world::stop_any(state::duration time) -> void
{
    auto& node = any_node();
    if (!node.is_alive() || node.is_leaving())
        return;
    node.begin_shutdown();
    start_again_after(node, time + std::chrono::seconds{40});
}

auto random_world::let_any_endpoint_leave(state::duration time) -> void
{
    auto& endpoint = any_endpoint();
    if (endpoint.is_leaving())
        return;
    endpoint.leave();
    tell_list_later();
    shared_.time_.after(time + std::chrono::seconds{10}, [this, &endpoint] {
        endpoint.stay();
        tell_list_later();
    });
}

auto random_world::fill_pool(state::duration time) -> void
{
    const auto inside = state::data_centre_id{data_centres.at(shared_.random_.below(data_centres.size()))};
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->description().data_centre_ != inside)
            continue;
        endpoint->set_full(true);
        shared_.time_.after(time, [&filled = *endpoint] { filled.set_full(false); });
    }
}

auto random_world::inject_at_step(fault_kind kind) -> void
{
    // The faults that come with a chance, or with the traffic, are brought about for certain here.
    if (kind == fault_kind::version_withdrawn) {
        withdraw(key("small@2"));
        return;
    }
    if (kind == fault_kind::crashing_request) {
        callers_.begin_poison_request();
        return;
    }
    strikes_step_ = true;
    inject(kind);
    strikes_step_ = false;
}

auto random_world::isolate_and_kill_at_step() -> void
{
    constexpr auto cut_time = state::duration{std::chrono::seconds{1}};
    constexpr auto time_to_live = state::duration{std::chrono::milliseconds{60}};
    strikes_step_ = true;
    auto& node = any_node();
    strikes_step_ = false;
    cut(node.id().text(), platform_name, true, cut_time);
    for (const auto& [id, other] : nodes_)
        cut(node.id().text(), id.text(), true, cut_time);
    shared_.time_.after(time_to_live, [&node] { node.kill(); });
}

auto random_world::crash_engines(state::duration time) -> void
{
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->description().kind_ != state::endpoint_kind::engine)
            continue;
        endpoint->crash();
        shared_.time_.after(time, [struck = endpoint.get()] { struck->restart(); });
    }
}

auto random_world::withdraw(const state::version_key& version) -> void
{
    if (shared_.faults_.is_platform_down_ || withdrawn_at_.contains(version))
        return;
    shared_.exercised_.count("withdrawal");
    shared_.note("withdraw " + version.text());
    change_configuration(state::version_settings{.key_ = version,
                                                 .state_ = state::version_state::withdrawn,
                                                 .price_per_thousand_tokens_ = state::micro_credits{1000},
                                                 .expected_quality_ = state::permille{700}});
    withdrawn_at_[version] = shared_.time_.now();
}

auto random_world::any_node() -> world_node&
{
    // In the matrix the fault strikes the instance that reached the step.
    if (const auto* struck = find_struck())
        return *nodes_.at(struck->id());
    auto found = nodes_.begin();
    std::advance(found, static_cast<std::ptrdiff_t>(shared_.random_.below(nodes_.size())));
    return *found->second;
}

auto random_world::find_struck() const -> const world_node*
{
    if (!strikes_step_)
        return nullptr;
    for (const auto& [id, node] : nodes_) {
        if (step_line_.find(" " + id.text() + " ") != std::string::npos)
            return node.get();
    }
    return nullptr;
}

auto random_world::any_endpoint() -> fake_endpoint&
{
    auto found = endpoints_.begin();
    std::advance(found, static_cast<std::ptrdiff_t>(shared_.random_.below(endpoints_.size())));
    return *found->second;
}

auto random_world::may_kill() -> bool
{
    // Three instances hold each bill until it is written, so two may die in the time that takes.
    while (!last_kills_.empty() && last_kills_.front() + unwritten_time < shared_.time_.now())
        last_kills_.pop_front();
    return last_kills_.size() < 2;
}

auto random_world::cut(const std::string& one, const std::string& other, bool is_both_ways,
                       state::duration time) -> void
{
    if (one == other)
        return;
    auto& cuts = shared_.faults_.cuts_;
    cuts.insert({one, other});
    if (is_both_ways)
        cuts.insert({other, one});
    last_cut_ = std::max(last_cut_, shared_.time_.now() + time);
    shared_.time_.after(time, [&cuts, one, other] {
        cuts.erase({one, other});
        cuts.erase({other, one});
    });
}

auto random_world::cut_off_data_centre(state::duration time) -> void
{
    const auto inside = state::data_centre_id{data_centres.at(shared_.random_.below(data_centres.size()))};
    for (auto& [id, node] : nodes_) {
        if (node->data_centre() != inside)
            continue;
        cut(id.text(), platform_name, true, time);
        for (auto& [other_id, other] : nodes_) {
            if (other->data_centre() != inside)
                cut(id.text(), other_id.text(), true, time);
        }
    }
}

auto random_world::race_operators() -> void
{
    // Both base their change on the same generation; the platform lets one create the next number.
    const auto truth = platform_configuration();
    auto winners = 0;
    for (const auto* author : {"first", "second"}) {
        auto profile = *truth->find_profile(state::profile_name{"quick"});
        profile.deadline_ += std::chrono::milliseconds{1};
        const auto change =
            state::configuration_change{.generation_ = truth->generation_.next(),
                                        .id_ = state::change_id{author + std::to_string(++last_change_)},
                                        .author_ = author,
                                        .previous_chain_ = truth->chain_,
                                        .content_ = profile};
        if (!shared_.platform_.create_change(change))
            continue;
        ++winners;
        accepted_.push_back(change.id_);
    }
    state::verify(winners == 1, state::guarantee::configuration_moves_forward,
                  "one of two racing changes must win");
}

} // namespace buckthorndale::tests::world
