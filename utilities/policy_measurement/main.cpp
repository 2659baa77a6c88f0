#include "policy_measurement/cascade_trial.hpp"
#include "policy_measurement/exposure_trial.hpp"
#include "policy_measurement/service_trial.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <vector>

namespace {

using namespace buckthorndale; // NOLINT: a program's own file
namespace measurement = utilities::policy_measurement;

constexpr auto requests = 20'000;
/// Seeds 1 to 10 were used while tuning; these are for the report.
constexpr auto first_seed = std::uint64_t{101};
constexpr auto seeds = std::uint64_t{10};
constexpr auto exposure_seeds = std::uint64_t{400};
constexpr auto most_answers = 20'000;

auto print_cascade(const measurement::cascade_model& model) -> void
{
    using measurement::cascade_policy;
    std::cout << "\ncascade, deployment " << model.name_ << ", " << seeds << " seeds of " << requests
              << " requests\n"
              << std::left << std::setw(20) << "policy" << std::right << std::setw(12) << "cost"
              << std::setw(16) << "least - most" << std::setw(10) << "good" << std::setw(14)
              << "cost/oracle\n";
    auto oracle_cost = 0.0;
    for (const auto policy : {cascade_policy::oracle, cascade_policy::planned, cascade_policy::static_cascade,
                              cascade_policy::always_dearest, cascade_policy::always_cheapest}) {
        auto costs = std::vector<double>{};
        auto good = 0.0;
        for (auto seed = first_seed; seed < first_seed + seeds; ++seed) {
            const auto result = measurement::run_cascade(model, policy, seed, requests);
            costs.push_back(result.cost_);
            good += result.good_ / static_cast<double>(seeds);
        }
        auto mean = 0.0;
        for (const auto cost : costs)
            mean += cost / static_cast<double>(seeds);
        if (policy == cascade_policy::oracle)
            oracle_cost = mean;
        std::cout << std::left << std::setw(20) << to_string(policy) << std::right << std::fixed
                  << std::setprecision(3) << std::setw(12) << mean << std::setw(9) << std::ranges::min(costs)
                  << std::setw(7) << std::ranges::max(costs) << std::setw(10) << good << std::setw(13)
                  << mean / oracle_cost << "\n";
    }
}

auto print_exposure(state::roll_out_emphasis emphasis, const std::string& name) -> void
{
    const auto settings = coordination::roll_out::settings_for(emphasis);
    std::cout << "\nexposure, emphasis " << name << ", " << exposure_seeds << " seeds, 8 routers\n"
              << std::right << std::setw(8) << "harm" << std::setw(10) << "halted" << std::setw(22)
              << "answers until halt" << std::setw(10) << "mean" << std::setw(14) << "Wald's mean"
              << "\n";
    for (const auto harm : {0.0, 0.05, 0.1, 0.3, 0.9}) {
        auto model = measurement::exposure_model{.harm_ = harm};
        auto answers = std::vector<int>{};
        for (auto seed = first_seed; seed < first_seed + exposure_seeds; ++seed) {
            if (const auto count = measurement::answers_until_halt(model, settings, seed, most_answers))
                answers.push_back(*count);
        }
        std::ranges::sort(answers);
        auto mean = 0.0;
        for (const auto count : answers)
            mean += static_cast<double>(count) / static_cast<double>(answers.size());
        const auto at = [&](std::size_t part) {
            return answers.empty() ? 0 : answers[answers.size() * part / 100];
        };
        const auto bound = coordination::roll_out::expected_sample_size(model.base_bad_rate_, harm, settings);
        std::cout << std::setw(8) << std::setprecision(2) << harm << std::setw(6) << answers.size() << "/"
                  << exposure_seeds << std::setw(10) << at(50) << " median" << std::setw(6) << at(95)
                  << " 95th" << std::setw(8) << std::setprecision(0) << mean << std::setw(12)
                  << std::max(bound, 0.0) << "\n";
    }
}

auto print_service_row(const measurement::service_model& model, measurement::service_policy policy,
                       const std::string& name) -> void
{
    constexpr auto service_seeds = std::uint64_t{200};
    constexpr auto most_after = 100'000;
    auto answers = std::vector<int>{};
    auto false_alarms = 0;
    for (auto seed = first_seed; seed < first_seed + service_seeds; ++seed) {
        const auto count = measurement::answers_after_turn(model, policy, seed, most_after);
        if (count && *count < 0)
            ++false_alarms;
        else if (count)
            answers.push_back(*count);
    }
    std::ranges::sort(answers);
    const auto at = [&](std::size_t part) {
        return answers.empty() ? 0 : answers[answers.size() * part / 100];
    };
    std::cout << std::setw(8) << std::setprecision(2) << model.harm_ << "  " << std::left << std::setw(12)
              << name << std::right << std::setw(6) << answers.size() << " found" << std::setw(5)
              << false_alarms << " false" << std::setw(8) << at(50) << " median" << std::setw(8) << at(95)
              << " 95th" << std::setw(8) << std::setprecision(0) << measurement::shortest_delay(model)
              << " bound\n";
}

auto print_service() -> void
{
    std::cout << "\nversion that turns bad in full service after 50000 answers, 200 seeds\n";
    for (const auto harm : {0.10, 0.30, 0.90}) {
        const auto model = measurement::service_model{.harm_ = harm};
        print_service_row(model, measurement::service_policy::shipped, "shipped");
        print_service_row(model, measurement::service_policy::window, "window");
        print_service_row(model, measurement::service_policy::all_counts, "all counts");
    }
}

} // namespace

auto main() -> int
{
    for (const auto& model : measurement::cascade_models())
        print_cascade(model);
    print_exposure(state::roll_out_emphasis::exposure, "exposure");
    print_exposure(state::roll_out_emphasis::latency, "latency");
    print_service();
    return 0;
}
