// Checks the guarantees at the end of a run; part of random_simulation.

#include "world/random_simulation.hpp"

#include "state/invariant.hpp"

#include <algorithm>

namespace buckthorndale::tests::world {

namespace {

// Bounds from the users' requirements.
constexpr auto withdrawal_bound = state::duration{std::chrono::seconds{17}};
constexpr auto leaving_bound = state::duration{std::chrono::seconds{5}};
constexpr auto max_crashes_per_request = std::size_t{2};

} // namespace

auto random_simulation::check_at_most_once() const -> void
{
    auto runs = std::map<std::string, int>{};
    for (const auto& run : runs_) {
        if (run.call_.target_ == state::target_kind::service)
            ++runs[run.call_.idempotency_key_];
    }
    for (const auto& [name, count] : runs)
        state::verify(count <= 1, state::guarantee::at_most_once,
                      "call " + name + " ran " + std::to_string(count) + " times");
}

auto random_simulation::check_not_run() const -> void
{
    auto ran = std::set<submission_id>{};
    for (const auto& run : runs_)
        ran.insert(run.call_.submission_);
    for (const auto& submission : callers_.submissions())
        state::verify(
            !submission.was_told_not_run_ || !ran.contains(submission.id_), state::guarantee::not_run_is_true,
            "submission " + std::to_string(submission.id_.value()) + " was reported as not run but ran");
}

auto random_simulation::check_bills() -> void
{
    const auto ledger = context_.platform_.ledger();
    auto complete = std::set<state::bill_key>{};
    for (const auto& request : callers_.requests()) {
        const auto bill = state::bill_key{.workspace_ = request.description_.workspace_,
                                          .request_ = request.description_.id_};
        const auto is_kept = request.complete_answers_ == 0 || ledger.bills().contains(bill);
        // An instance that could reach neither another instance nor the platform loses its bill when it dies.
        // randomised_run/a_lone_instance_loses_no_bill covers this case, and fails.
        const auto had_single_holder = !is_kept && context_.single_holder_bills_.contains(bill);
        if (had_single_holder)
            context_.coverage_.count("lone-bill-lost");
        state::verify(is_kept || had_single_holder, state::guarantee::billed_once,
                      "request " + bill.request_.text() +
                          " was answered completely but is not in the ledger");
    }
    auto ran = std::set<state::bill_key>{};
    for (const auto& run : runs_)
        ran.insert({.workspace_ = run.call_.workspace_, .request_ = run.call_.request_});
    for (const auto& [bill, record] : ledger.bills())
        state::verify(ran.contains(bill), state::guarantee::billed_once,
                      "request " + bill.request_.text() + " is in the ledger but never ran");
}

auto random_simulation::check_withdrawn() const -> void
{
    for (const auto& run : runs_) {
        const auto found = withdrawn_at_.find(run.call_.version_);
        if (found == withdrawn_at_.end())
            continue;
        // A withdrawal cannot reach instances during a partition, so the bound starts when the last one ends.
        const auto known_since = std::max(found->second, last_cut_end_);
        state::verify(run.started_ <= known_since + withdrawal_bound,
                      state::guarantee::no_work_when_withdrawn,
                      run.call_.version_.text() + " was given " + run.call_.request_.text() +
                          " too long after its withdrawal");
    }
}

auto random_simulation::check_leaving() const -> void
{
    for (const auto& run : runs_) {
        const auto& endpoint = *endpoints_.at(run.endpoint_);
        const auto is_new_work =
            endpoint.is_leaving() && run.started_ > *endpoint.leaving_since() + leaving_bound;
        state::verify(!is_new_work, state::guarantee::leaving_endpoint_avoided,
                      run.endpoint_.text() + " was given work too long after it began to leave");
    }
}

auto random_simulation::check_configuration() -> void
{
    const auto& changes = context_.platform_.changes();
    for (const auto& id : accepted_changes_) {
        const auto is_there =
            std::ranges::any_of(changes, [&](const auto& change) { return change.id_ == id; });
        state::verify(is_there, state::guarantee::configuration_moves_forward,
                      "an accepted change must not be lost");
    }
    for (auto& [id, instance] : instances_) {
        const auto known = instance->agent()->replica().current()->generation_;
        state::verify(known.value() == changes.size(), state::guarantee::configuration_moves_forward,
                      id.text() + " does not have the newest configuration");
        const auto in_force = instance->router()->engine().configuration().generation_;
        state::verify(in_force == known, state::guarantee::configuration_moves_forward,
                      "the router of " + id.text() + " does not act on the newest configuration");
    }
}

auto random_simulation::check_crashes() -> void
{
    auto crashed = std::map<state::request_id, std::set<state::endpoint_id>>{};
    for (const auto& run : runs_) {
        if (run.call_.is_poison_)
            crashed[run.call_.request_].insert(run.endpoint_);
    }
    for (const auto& [request, endpoints] : crashed) {
        if (endpoints.size() <= max_crashes_per_request)
            continue;
        context_.coverage_.count("more-than-two-crashes");
        state::verify(had_router_faults_, state::guarantee::internal_consistency,
                      request.text() + " crashed " + std::to_string(endpoints.size()) + " endpoints");
    }
}

} // namespace buckthorndale::tests::world
