#include "coordination/roll_out/evidence_tree.hpp"
#include "coordination/time/seeded_random.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

namespace buckthorndale::tests {

namespace {

using coordination::roll_out::evidence;
using coordination::roll_out::evidence_tree;
using coordination::roll_out::version_counts;

const auto version = state::version_key_from_text("small@1");

/// The agents of instances in several data centres, which aggregate evidence over calls that never fail.
class simulated_agents {
public:
    simulated_agents(int data_centres, int members_per_data_centre)
    {
        for (auto data_centre = 0; data_centre < data_centres; ++data_centre) {
            for (auto member = 0; member < members_per_data_centre; ++member)
                add_agent("dc-" + std::to_string(data_centre), "-entry-" + std::to_string(member));
        }
    }

    /// Counts answers at each instance's router.
    auto serve(std::int64_t answers) -> void
    {
        for (auto& [id, routed] : routed_) {
            routed.good_ += answers;
            agents_.at(id).add_router_report(report_of(id, routed));
        }
    }

    /// Runs one round in which each agent exchanges with its parent or, as a root, with the other roots.
    auto exchange() -> void
    {
        for (const auto& member : members_)
            exchange(member);
    }

    auto sum_at(const state::instance_id& id) const -> std::int64_t
    {
        const auto sums = agents_.at(id).sums();
        return sums.counts_.empty() ? 0 : sums.counts_.front().counts_.good_;
    }

    auto remove(std::size_t index) -> void
    {
        routed_.erase(members_[index].id_);
        agents_.erase(members_[index].id_);
        members_.erase(members_.begin() + static_cast<std::ptrdiff_t>(index));
    }

    auto members() const -> const std::vector<state::member>& { return members_; }

private:
    auto add_agent(const std::string& data_centre, const std::string& name) -> void
    {
        const auto id = state::instance_id{data_centre + name};
        members_.push_back({.id_ = id, .data_centre_ = state::data_centre_id{data_centre}});
        agents_.emplace(id, evidence_tree{id, state::incarnation{1}});
        routed_[id] = {};
        agents_.at(id).add_router_report(report_of(id, {}));
    }

    static auto report_of(const state::instance_id& id, const evidence& counts)
        -> coordination::roll_out::evidence_report
    {
        return {.source_ = id,
                .life_ = state::incarnation{1},
                .counts_ = {{.version_ = version, .counts_ = counts}}};
    }

    auto exchange(const state::member& member) -> void
    {
        auto& own = agents_.at(member.id_);
        const auto ancestors =
            coordination::roll_out::ancestors_of(member.id_, member.data_centre_, members_);
        if (!ancestors.empty()) {
            auto& parent = agents_.at(ancestors.front().id_);
            parent.add_increments(own.take_unsent());
            own.update_from_parent(parent.sums());
            return;
        }
        own.apply_unsent();
        for (const auto& root : coordination::roll_out::other_roots(member.data_centre_, members_)) {
            agents_.at(root.id_).update_from_root(own.own_data_centre());
            own.update_from_root(agents_.at(root.id_).own_data_centre());
        }
    }

    std::vector<state::member> members_;
    std::map<state::instance_id, evidence_tree> agents_;
    std::map<state::instance_id, evidence> routed_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(evidence_sums)

BOOST_AUTO_TEST_CASE(every_answer_is_counted_once_everywhere)
{
    constexpr auto rounds = 12;
    auto agents = simulated_agents{7, 52};
    // The first report of each source only sets the starting point.
    agents.exchange();
    agents.serve(10);
    for (auto round = 0; round < rounds; ++round)
        agents.exchange();
    for (const auto& member : agents.members())
        BOOST_REQUIRE_EQUAL(agents.sum_at(member.id_), 10 * 7 * 52);
}

BOOST_AUTO_TEST_CASE(crashes_lose_some_evidence_but_double_none)
{
    auto random = coordination::time::seeded_random{11};
    auto agents = simulated_agents{3, 20};
    for (auto round = 0; round < 4; ++round)
        agents.exchange();
    auto served = std::int64_t{0};
    for (auto round = 0; round < 200; ++round) {
        served += static_cast<std::int64_t>(agents.members().size());
        agents.serve(1);
        agents.exchange();
        if (round % 10 == 9 && agents.members().size() > 30)
            agents.remove(static_cast<std::size_t>(random.below(agents.members().size())));
        for (const auto& member : agents.members())
            BOOST_REQUIRE_LE(agents.sum_at(member.id_), served);
    }
    for (auto round = 0; round < 12; ++round)
        agents.exchange();
    for (const auto& member : agents.members())
        BOOST_CHECK_GE(agents.sum_at(member.id_), served / 2);
}

BOOST_AUTO_TEST_CASE(no_member_has_many_children)
{
    const auto agents = simulated_agents{1, 360};
    auto children = std::map<state::instance_id, int>{};
    auto deepest = std::size_t{0};
    for (const auto& member : agents.members()) {
        const auto ancestors =
            coordination::roll_out::ancestors_of(member.id_, member.data_centre_, agents.members());
        deepest = std::max(deepest, ancestors.size());
        if (!ancestors.empty())
            ++children[ancestors.front().id_];
    }
    for (const auto& [id, count] : children)
        BOOST_CHECK_LE(count, 3);
    BOOST_CHECK_LE(deepest, 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
