#pragma once

#include "coordination/configuration/replica.hpp"
#include "coordination/roll_out/evidence_tree.hpp"
#include "coordination/roll_out/roll_out_controller.hpp"
#include "coordination/time/seeded_random.hpp"
#include "state/member.hpp"
#include "state/roll_out.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace buckthorndale::tests::world {

struct fleet_settings {
    std::uint64_t seed_{1};
    std::size_t instances_{5};
    /// The rates of bad answers of the old and of the new version.
    double from_bad_{0.05};
    double to_bad_{0.05};
    /// Whether instances crash, freeze and are partitioned, and whether the platform fails and loses answers.
    bool has_faults_{true};
    std::chrono::seconds max_duration_{1800};
};

/// Simulates instances that advance one roll-out through a shared log of changes. Each has its own
/// controller, its own replica of the configuration and its own view of the evidence, all of which lag.
class roll_out_fleet {
public:
    explicit roll_out_fleet(const fleet_settings& settings);

    /// Runs until the roll-out has ended or max_duration_ has passed.
    auto run() -> void;

    /// The states of the roll-out in the order in which they were accepted.
    auto accepted() const -> const std::vector<state::roll_out>& { return accepted_; }

    auto has_ended() const -> bool;

    /// Answers given by the new version.
    auto exposure() const -> std::int64_t { return exposure_; }

    /// Proposals that were rejected because another change was accepted first.
    auto races_lost() const -> int { return races_lost_; }

    auto crashes() const -> int { return crashes_; }

    auto freezes() const -> int { return freezes_; }

    auto answers_lost() const -> int { return answers_lost_; }

private:
    struct instance {
        state::instance_id id_;
        std::uint64_t life_{1};
        coordination::configuration::replica replica_;
        coordination::roll_out::version_guard guard_;
        coordination::roll_out::evidence_tree tree_;
        coordination::roll_out::roll_out_controller controller_;
        state::time_point frozen_until_;
        state::time_point partitioned_until_;
        /// Proposals that were decided but not yet written when the instance froze.
        std::deque<coordination::roll_out::roll_out_proposal> pending_;
    };

    auto make_instance(std::size_t index, std::uint64_t life) const -> instance;
    auto advance_one_second() -> void;
    auto inject_faults() -> void;
    auto serve() -> void;
    auto synchronise(instance& self) -> void;
    auto share_evidence(instance& self) -> void;
    auto run_instance(instance& self) -> void;
    auto write(instance& self, const coordination::roll_out::roll_out_proposal& proposal) -> void;
    auto accept(state::change_content content, const state::instance_id& author) -> void;
    auto current() const -> const state::roll_out&;

    fleet_settings settings_;
    coordination::time::seeded_random random_;
    state::time_point now_{std::chrono::hours{1}};
    state::time_point platform_down_until_;
    coordination::configuration::replica log_;
    std::vector<state::member> members_;
    std::vector<instance> instances_;
    std::vector<state::roll_out> accepted_;
    std::int64_t exposure_{0};
    int races_lost_{0};
    int crashes_{0};
    int freezes_{0};
    int answers_lost_{0};
};

} // namespace buckthorndale::tests::world
