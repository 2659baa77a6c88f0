#include "world/random_simulation.hpp"

#include "coordination/configuration/apply_change.hpp"
#include "state/error.hpp"
#include "state/invariant.hpp"

#include <algorithm>
#include <array>

namespace buckthorndale::tests::world {

namespace {

constexpr auto instances_per_data_centre = 4;
constexpr auto list_publish_delay = state::duration{std::chrono::seconds{2}};
constexpr auto settle_time = state::duration{std::chrono::seconds{60}};
constexpr auto max_request_interval = std::uint64_t{60'000};

auto key(const std::string& text) -> state::version_key
{
    return state::version_key_from_text(text);
}

} // namespace

random_simulation::random_simulation(std::uint64_t seed, coordination::routing::engine_settings settings)
    : context_{seed}, settings_{settings},
      callers_{context_, [this](const submission& request) { return send(request); }}
{
    build();
}

auto random_simulation::build() -> void
{
    context_.actual_list_.version_ = 1;
    const auto access = simulated_instance::simulation_access{
        .find_endpoint_ = [this](const state::endpoint_id& id) -> fake_endpoint& {
            return *endpoints_.at(id);
        },
        .find_instance_ =
            [this](const state::instance_id& id) {
                const auto found = instances_.find(id);
                return found == instances_.end() ? nullptr : found->second.get();
            },
        .instances_ = [this] { return instances(); },
        .caller_ = &callers_};
    for (const auto* data_centre : data_centres) {
        for (auto number = 1; number <= instances_per_data_centre; ++number) {
            const auto id = state::instance_id{std::string{data_centre} + "-" + std::to_string(number)};
            instances_[id] = std::make_unique<simulated_instance>(
                context_, id, state::data_centre_id{data_centre}, access, settings_);
            context_.actual_list_.members_.push_back(
                {.id_ = id, .data_centre_ = state::data_centre_id{data_centre}});
        }
        for (auto number = 1; number <= 3; ++number)
            add_endpoint(std::string{data_centre} + "-engine-" + std::to_string(number), data_centre,
                         state::endpoint_kind::engine);
        for (auto number = 1; number <= 2; ++number)
            add_endpoint(std::string{data_centre} + "-register-" + std::to_string(number), data_centre,
                         state::endpoint_kind::service);
    }
    context_.published_list_ = context_.actual_list_;
    configure();
    for (auto& [id, instance] : instances_)
        instance->start();
}

auto random_simulation::add_endpoint(const std::string& id, const std::string& data_centre,
                                     state::endpoint_kind kind) -> void
{
    auto description = state::endpoint{.id_ = state::endpoint_id{id},
                                       .kind_ = kind,
                                       .data_centre_ = state::data_centre_id{data_centre},
                                       .slots_ = 6};
    if (kind == state::endpoint_kind::engine)
        description.versions_ = {key("small@1"), key("small@2"), key("large@1")};
    else
        description.service_ = state::service_name{"register"};
    context_.actual_list_.endpoints_.push_back(description);
    endpoints_.emplace(description.id_, std::make_unique<fake_endpoint>(context_, description, runs_));
}

auto random_simulation::configure() -> void
{
    for (const auto& version : {std::string{"small@1"}, std::string{"small@2"}, std::string{"large@1"}})
        change_configuration(state::version_settings{
            .key_ = key(version),
            .price_per_thousand_tokens_ = state::micro_credits{version.starts_with("small") ? 1000 : 20'000},
            .expected_quality_ = state::permille{700}});
    change_configuration(state::profile{.name_ = state::profile_name{"careful"},
                                        .versions_ = {key("small@1"), key("small@2"), key("large@1")},
                                        .quality_target_ = state::permille{800},
                                        .deadline_ = std::chrono::seconds{8}});
    change_configuration(state::profile{.name_ = state::profile_name{"quick"},
                                        .versions_ = {key("small@1"), key("small@2")},
                                        .deadline_ = std::chrono::seconds{8}});
    for (auto number = 0; number < 3; ++number)
        change_configuration(
            state::workspace{.id_ = state::workspace_id{"w" + std::to_string(number)},
                             .key_hash_ = "hash",
                             .profiles_ = {state::profile_name{"careful"}, state::profile_name{"quick"}},
                             .services_ = {state::service_name{"register"}},
                             .weight_ = number + 1});
    change_configuration(state::roll_out{.model_ = state::model_name{"small"},
                                         .from_ = state::version_name{"1"},
                                         .to_ = state::version_name{"2"},
                                         .share_ = state::permille{300}});
}

auto random_simulation::platform_configuration() const -> std::shared_ptr<const state::configuration>
{
    auto latest = coordination::configuration::replica{};
    for (const auto& change : context_.platform_.changes())
        latest.offer_change(change);
    return latest.current();
}

auto random_simulation::change_configuration(state::change_content content) -> bool
{
    // A change must be based on the configuration that the platform has stored.
    const auto latest = platform_configuration();
    const auto change =
        state::configuration_change{.generation_ = latest->generation_.next(),
                                    .id_ = state::change_id{"c" + std::to_string(++last_change_)},
                                    .author_ = "operator",
                                    .made_at_ = context_.clock_.wall_now(),
                                    .previous_chain_ = latest->chain_,
                                    .content_ = std::move(content)};
    coordination::configuration::check_change(*latest, change);
    if (!context_.platform_.create_change(change))
        return false;
    accepted_changes_.push_back(change.id_);
    return true;
}

auto random_simulation::send(const submission& request) -> bool
{
    auto ready = std::vector<simulated_instance*>{};
    for (auto& [id, instance] : instances_) {
        if (instance->accepts_requests())
            ready.push_back(instance.get());
    }
    if (ready.empty())
        return false;
    ready[context_.random_.below(ready.size())]->submit(request);
    return true;
}

auto random_simulation::instances() -> std::vector<simulated_instance*>
{
    auto all = std::vector<simulated_instance*>{};
    for (auto& [id, instance] : instances_)
        all.push_back(instance.get());
    return all;
}

auto random_simulation::publish_list_later() -> void
{
    ++context_.actual_list_.version_;
    for (auto& endpoint : context_.actual_list_.endpoints_)
        endpoint.state_ = endpoints_.at(endpoint.id_)->description().state_;
    context_.time_.after(list_publish_delay,
                         [this, list = context_.actual_list_] { context_.published_list_ = list; });
}

auto random_simulation::schedule_traffic() -> void
{
    context_.time_.after(
        state::duration{static_cast<state::duration::rep>(context_.random_.below(max_request_interval))},
        [this] {
            if (!has_traffic_)
                return;
            callers_.begin_request();
            schedule_traffic();
        });
}

auto random_simulation::run(state::duration time) -> void
{
    begin_traffic();
    is_injecting_ = true;
    schedule_faults();
    run_for(time);
    is_injecting_ = false;
    settle_and_check();
}

auto random_simulation::begin_traffic() -> void
{
    run_for(std::chrono::seconds{3});
    has_traffic_ = true;
    schedule_traffic();
}

auto random_simulation::run_for(state::duration time) -> void
{
    context_.time_.run_until(context_.time_.now() + time);
}

auto random_simulation::settle_and_check() -> void
{
    has_traffic_ = false;
    run_for(settle_time);
    for (auto& [id, instance] : instances_) {
        if (!instance->is_alive())
            instance->start();
    }
    run_for(settle_time);
    check_at_most_once();
    check_not_run();
    check_bills();
    check_withdrawn();
    check_leaving();
    check_configuration();
    check_crashes();
}

} // namespace buckthorndale::tests::world
