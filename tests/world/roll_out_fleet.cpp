#include "world/roll_out_fleet.hpp"

#include "coordination/configuration/apply_change.hpp"
#include "coordination/configuration/change_conflict.hpp"
#include "state/error.hpp"

#include <algorithm>
#include <utility>

namespace buckthorndale::tests::world {

namespace {

using namespace std::chrono_literals;
using state::permille;

constexpr auto answers_per_second = 20;
constexpr auto min_step_duration = std::chrono::seconds{20};

auto version(const std::string& name) -> state::version_settings
{
    return {.key_ = {.model_ = state::model_name{"small"}, .version_ = state::version_name{name}}};
}

auto first_roll_out() -> state::roll_out
{
    return {.model_ = state::model_name{"small"},
            .from_ = state::version_name{"1"},
            .to_ = state::version_name{"2"},
            .share_ = permille{0},
            .is_automatic_ = true,
            .min_step_duration_ = min_step_duration};
}

} // namespace

roll_out_fleet::roll_out_fleet(const fleet_settings& settings) : settings_{settings}, random_{settings.seed_}
{
    const auto operators = state::instance_id{"operator"};
    accept(version("1"), operators);
    accept(version("2"), operators);
    accept(first_roll_out(), operators);
    for (auto index = std::size_t{0}; index < settings_.instances_; ++index) {
        instances_.push_back(make_instance(index, 1));
        members_.push_back({.id_ = instances_.back().id_});
    }
}

auto roll_out_fleet::make_instance(std::size_t index, std::uint64_t life) const -> instance
{
    const auto id = state::instance_id{"entry-" + std::to_string(index)};
    return {.id_ = id,
            .life_ = life,
            .replica_ = {},
            .guard_ = {},
            .tree_ = {id, state::incarnation{life}},
            .controller_ = coordination::roll_out::roll_out_controller{id},
            .frozen_until_ = {},
            .partitioned_until_ = {},
            .pending_ = {}};
}

auto roll_out_fleet::run() -> void
{
    const auto end = now_ + settings_.max_duration_;
    while (now_ < end && !has_ended())
        advance_one_second();
}

auto roll_out_fleet::has_ended() const -> bool
{
    return current().state_ != state::roll_out_state::running;
}

auto roll_out_fleet::current() const -> const state::roll_out&
{
    return *log_.current()->find_roll_out(state::model_name{"small"});
}

auto roll_out_fleet::advance_one_second() -> void
{
    now_ += 1s;
    if (settings_.has_faults_)
        inject_faults();
    serve();
    for (auto& self : instances_) {
        if (self.frozen_until_ <= now_)
            run_instance(self);
    }
}

auto roll_out_fleet::inject_faults() -> void
{
    const auto index = static_cast<std::size_t>(random_.below(instances_.size()));
    auto& self = instances_[index];
    if (random_.chance(0.02)) {
        self = make_instance(index, self.life_ + 1);
        ++crashes_;
    }
    if (random_.chance(0.03)) {
        self.frozen_until_ = now_ + std::chrono::seconds{random_.below(40)};
        ++freezes_;
    }
    if (random_.chance(0.02))
        self.partitioned_until_ = now_ + std::chrono::seconds{random_.below(60)};
    if (random_.chance(0.01))
        platform_down_until_ = now_ + std::chrono::seconds{random_.below(60)};
}

auto roll_out_fleet::serve() -> void
{
    for (auto answer = 0; answer < answers_per_second; ++answer) {
        auto& self = instances_[static_cast<std::size_t>(random_.below(instances_.size()))];
        if (self.frozen_until_ > now_ || !self.replica_.is_known())
            continue;
        const auto* roll_out = self.replica_.current()->find_roll_out(state::model_name{"small"});
        if (roll_out == nullptr)
            continue;
        const auto goes_to_new = static_cast<std::int64_t>(random_.below(1000)) < roll_out->share_.value();
        const auto bad = random_.chance(goes_to_new ? settings_.to_bad_ : settings_.from_bad_);
        self.guard_.record(goes_to_new ? roll_out->to_key() : roll_out->from_key(), !bad);
        exposure_ += goes_to_new ? 1 : 0;
    }
}

auto roll_out_fleet::synchronise(instance& self) -> void
{
    if (self.partitioned_until_ > now_)
        return;
    if (platform_down_until_ <= now_) {
        for (const auto& change : log_.changes_after(self.replica_.current()->generation_))
            self.replica_.offer_change(change);
    }
    share_evidence(self);
}

auto roll_out_fleet::share_evidence(instance& self) -> void
{
    self.tree_.add_router_report(
        {.source_ = self.id_, .life_ = state::incarnation{self.life_}, .counts_ = self.guard_.own_counts()});
    const auto ancestors = coordination::roll_out::ancestors_of(self.id_, {}, members_);
    if (ancestors.empty())
        self.tree_.apply_unsent();
    for (const auto& ancestor : ancestors) {
        const auto is_ancestor = [&](const instance& other) { return other.id_ == ancestor.id_; };
        auto& parent = *std::ranges::find_if(instances_, is_ancestor);
        if (parent.frozen_until_ > now_ || parent.partitioned_until_ > now_)
            continue;
        parent.tree_.add_increments(self.tree_.take_unsent());
        self.tree_.update_from_parent(parent.tree_.sums());
        break;
    }
    self.guard_.update_sums(self.tree_.sums());
}

auto roll_out_fleet::run_instance(instance& self) -> void
{
    const auto was_late = !self.pending_.empty();
    // Proposals decided before a freeze are written after it, before the instance gets any update.
    while (!self.pending_.empty()) {
        write(self, self.pending_.front());
        self.pending_.pop_front();
    }
    if (!was_late)
        synchronise(self);
    if (!self.replica_.is_known())
        return;
    for (auto& proposal : self.controller_.decide(*self.replica_.current(), self.guard_, members_, now_)) {
        const auto freezes_now = settings_.has_faults_ && random_.chance(0.3);
        if (freezes_now)
            self.frozen_until_ = now_ + std::chrono::seconds{1 + random_.below(30)};
        freezes_ += freezes_now ? 1 : 0;
        if (freezes_now)
            self.pending_.push_back(std::move(proposal));
        else
            write(self, proposal);
    }
}

auto roll_out_fleet::write(instance& self, const coordination::roll_out::roll_out_proposal& proposal) -> void
{
    if (platform_down_until_ > now_ || self.partitioned_until_ > now_)
        return;
    // Same sequence as in the editor: catch up, check for a conflicting change, create conditionally.
    for (const auto& change : log_.changes_after(self.replica_.current()->generation_))
        self.replica_.offer_change(change);
    try {
        coordination::configuration::check_conflict(self.replica_, proposal.based_on_, proposal.content_);
    } catch (const state::error&) {
        ++races_lost_;
        return;
    }
    accept(proposal.content_, self.id_);
    // If the answer is lost, the instance continues without knowing that its change took effect.
    const auto is_lost = settings_.has_faults_ && random_.chance(0.2);
    answers_lost_ += is_lost ? 1 : 0;
    if (!is_lost)
        self.replica_.offer_change(log_.changes_after(self.replica_.current()->generation_).back());
}

auto roll_out_fleet::accept(state::change_content content, const state::instance_id& author) -> void
{
    const auto before = log_.current();
    const auto number = before->generation_.next();
    const auto change = state::configuration_change{.generation_ = number,
                                                    .id_ = state::change_id{std::to_string(number.value())},
                                                    .author_ = author.text(),
                                                    .previous_chain_ = before->chain_,
                                                    .content_ = std::move(content)};
    coordination::configuration::check_change(*before, change);
    log_.offer_change(change);
    if (const auto* roll_out = std::get_if<state::roll_out>(&change.content_))
        accepted_.push_back(*roll_out);
}

} // namespace buckthorndale::tests::world
