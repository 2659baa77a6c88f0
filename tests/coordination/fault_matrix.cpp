#include "state/invariant.hpp"
#include "world/fault_step.hpp"
#include "world/print_trace.hpp"
#include "world/random_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <iostream>
#include <string>

namespace buckthorndale::tests {

namespace {

constexpr auto seeds_per_cell = std::uint64_t{3};
constexpr auto time_after_fault = state::duration{std::chrono::seconds{15}};

/// The results of one cell of the matrix over its seeds.
struct cell_result {
    bool has_passed_{true};
    int steps_reached_{0};
    std::string breach_;
};

/// Runs traffic, injects the fault when the step is reached, and checks the guarantees.
auto run_cell(world::fault_kind fault, world::fault_step step, std::uint64_t seed, cell_result& result)
    -> void
{
    auto run = world::random_simulation{seed, {}};
    run.begin_traffic();
    try {
        result.steps_reached_ += world::run_to_step(run, step, [&] { run.inject_at_step(fault); }) ? 1 : 0;
        run.run_for(time_after_fault);
        run.settle_and_check();
    } catch (const state::invariant_violation& breach) {
        result.has_passed_ = false;
        world::print_trace(run);
        result.breach_ = "seed " + std::to_string(seed) + ": " + breach.what();
    }
}

auto run_row(world::fault_kind fault) -> void
{
    for (auto index = 0; index < world::fault_step_count; ++index) {
        const auto step = static_cast<world::fault_step>(index);
        auto result = cell_result{};
        for (auto seed = std::uint64_t{1}; seed <= seeds_per_cell; ++seed)
            run_cell(fault, step, seed, result);
        const auto name = world::to_string(fault) + " at " + world::to_string(step);
        BOOST_CHECK_MESSAGE(result.has_passed_, name << ": " << result.breach_);
        BOOST_CHECK_MESSAGE(result.steps_reached_ == seeds_per_cell, name << ": the step was not reached");
        std::cout << "cell | " << world::to_string(fault) << " | " << world::to_string(step) << " | "
                  << (result.has_passed_ && result.steps_reached_ > 0 ? "proved" : "failing") << "\n";
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(fault_matrix)

BOOST_AUTO_TEST_CASE(kill_instance)
{
    run_row(world::fault_kind::kill_instance);
}

BOOST_AUTO_TEST_CASE(freeze_instance)
{
    run_row(world::fault_kind::freeze_instance);
}

BOOST_AUTO_TEST_CASE(cut_both_ways)
{
    run_row(world::fault_kind::cut_both_ways);
}

BOOST_AUTO_TEST_CASE(cut_one_way)
{
    run_row(world::fault_kind::cut_one_way);
}

BOOST_AUTO_TEST_CASE(silent_connections)
{
    run_row(world::fault_kind::silent_connections);
}

BOOST_AUTO_TEST_CASE(platform_down)
{
    run_row(world::fault_kind::platform_down);
}

BOOST_AUTO_TEST_CASE(platform_slow)
{
    run_row(world::fault_kind::platform_slow);
}

BOOST_AUTO_TEST_CASE(answers_lost)
{
    run_row(world::fault_kind::answers_lost);
}

BOOST_AUTO_TEST_CASE(operators_race)
{
    run_row(world::fault_kind::operators_race);
}

BOOST_AUTO_TEST_CASE(endpoint_crash)
{
    run_row(world::fault_kind::endpoint_crash);
}

BOOST_AUTO_TEST_CASE(endpoint_leaves)
{
    run_row(world::fault_kind::endpoint_leaves);
}

BOOST_AUTO_TEST_CASE(crashing_request)
{
    run_row(world::fault_kind::crashing_request);
}

BOOST_AUTO_TEST_CASE(stream_breaks)
{
    run_row(world::fault_kind::stream_breaks);
}

BOOST_AUTO_TEST_CASE(version_withdrawn)
{
    run_row(world::fault_kind::version_withdrawn);
}

BOOST_AUTO_TEST_CASE(data_centre_cut_off)
{
    run_row(world::fault_kind::data_centre_cut_off);
}

BOOST_AUTO_TEST_CASE(graceful_shutdown)
{
    run_row(world::fault_kind::graceful_shutdown);
}

BOOST_AUTO_TEST_CASE(pool_full)
{
    run_row(world::fault_kind::pool_full);
}

BOOST_AUTO_TEST_CASE(version_turns_bad)
{
    run_row(world::fault_kind::version_turns_bad);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
