#include "coordination/roll_out/evidence_tree.hpp"

#include "state/stable_hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthorndale::coordination::roll_out {

namespace {

/// Children per member. A larger fan-out makes the tree shallower but gives inner members more messages.
constexpr auto fan_out = std::size_t{3};

auto rank_of(const state::instance_id& id) -> std::tuple<std::uint64_t, std::string>
{
    return {state::stable_hash(id.text()), id.text()};
}

/// The live members of a data centre in the array order of the tree, root first. Members that are not listed
/// or are leaving have no position.
auto members_in_tree_order(const state::data_centre_id& data_centre,
                           const std::vector<state::member>& members) -> std::vector<state::member>
{
    auto tree = std::vector<state::member>{};
    for (const auto& member : members) {
        if (member.data_centre_ == data_centre && member.state_ == state::instance_state::live)
            tree.push_back(member);
    }
    std::ranges::sort(tree, {}, [](const state::member& member) { return rank_of(member.id_); });
    return tree;
}

} // namespace

auto evidence_tree::add_router_report(const evidence_report& report) -> void
{
    add_increments(router_.follow(report));
}

auto evidence_tree::add_increments(const std::vector<version_counts>& increments) -> void
{
    add_to(unsent_, increments);
}

auto evidence_tree::take_unsent() -> std::vector<version_counts>
{
    return report_of(std::exchange(unsent_, {})).counts_;
}

auto evidence_tree::apply_unsent() -> void
{
    const auto increments = take_unsent();
    add_to(own_data_centre_, increments);
    add_to(sums_, increments);
}

auto evidence_tree::update_from_parent(const evidence_report& report) -> void
{
    add_to(sums_, parent_.follow(report));
}

auto evidence_tree::update_from_root(const evidence_report& report) -> void
{
    add_to(sums_, roots_[report.source_].follow(report));
}

auto evidence_tree::add_to(counts_by_version& counts, const std::vector<version_counts>& increments) -> void
{
    for (const auto& item : increments)
        counts[item.version_] += item.counts_;
}

auto evidence_tree::report_of(const counts_by_version& counts) const -> evidence_report
{
    auto report = evidence_report{.source_ = self_, .life_ = life_, .counts_ = {}};
    for (const auto& [version, sum] : counts)
        report.counts_.push_back({.version_ = version, .counts_ = sum});
    return report;
}

auto ancestors_of(const state::instance_id& self, const state::data_centre_id& data_centre,
                  const std::vector<state::member>& members) -> std::vector<state::member>
{
    const auto tree = members_in_tree_order(data_centre, members);
    const auto own = std::ranges::find(tree, self, &state::member::id_);
    auto ancestors = std::vector<state::member>{};
    if (own == tree.end()) {
        // Not listed yet, or leaving: remaining increments go straight to the root.
        if (!tree.empty())
            ancestors.push_back(tree.front());
        return ancestors;
    }
    for (auto index = static_cast<std::size_t>(own - tree.begin()); index > 0;) {
        index = (index - 1) / fan_out;
        ancestors.push_back(tree[index]);
    }
    return ancestors;
}

auto other_roots(const state::data_centre_id& data_centre, const std::vector<state::member>& members)
    -> std::vector<state::member>
{
    auto roots = std::map<state::data_centre_id, state::member>{};
    for (const auto& member : members) {
        if (member.data_centre_ == data_centre || member.state_ != state::instance_state::live)
            continue;
        const auto [place, is_new] = roots.try_emplace(member.data_centre_, member);
        if (!is_new && rank_of(member.id_) < rank_of(place->second.id_))
            place->second = member;
    }
    auto list = std::vector<state::member>{};
    for (auto& [id, member] : roots)
        list.push_back(std::move(member));
    return list;
}

} // namespace buckthorndale::coordination::roll_out
