#include "transport/http/caller_memory.hpp"

#include "transport/http/caller_share.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace buckthorndale::tests {

namespace http = transport::http;

namespace {

using namespace std::chrono_literals;

constexpr auto kilobyte = std::size_t{1024};
constexpr auto limit = std::size_t{8'000} * kilobyte;

/// A holder that can be asked to give way.
class holder {
public:
    explicit holder(const std::shared_ptr<http::caller_memory>& memory) : share_{memory} {}

    auto hold(http::held_part part, std::size_t bytes) -> bool { return share_.try_hold(part, bytes); }

    auto allow_eviction() -> void
    {
        share_.allow_eviction([this] { is_evicted_ = true; });
    }

    auto share() -> http::caller_share& { return share_; }

    auto is_evicted() const -> bool { return is_evicted_; }

private:
    http::caller_share share_;
    bool is_evicted_{false};
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_memory)

BOOST_AUTO_TEST_CASE(all_that_is_held_is_given_back)
{
    const auto memory = std::make_shared<http::caller_memory>(limit);
    {
        auto first = holder{memory};
        BOOST_TEST(first.hold(http::held_part::connection, 48 * kilobyte));
        BOOST_TEST(first.hold(http::held_part::message, 2000 * kilobyte));
        BOOST_TEST(first.hold(http::held_part::message, 1000 * kilobyte));
        BOOST_TEST(memory->counts().held_ == 1048 * kilobyte);
        first.share().release(http::held_part::connection);
        BOOST_TEST(memory->counts().held_ == 1000 * kilobyte);
    }
    BOOST_TEST(memory->counts().held_ == 0U);
    // Nothing is lost however often large requests come and go.
    for (auto round = 0; round < 100; ++round) {
        auto one = holder{memory};
        BOOST_TEST(one.hold(http::held_part::message, 4000 * kilobyte));
    }
}

BOOST_AUTO_TEST_CASE(requests_in_progress_do_not_give_way)
{
    const auto memory = std::make_shared<http::caller_memory>(limit);
    auto running = holder{memory};
    BOOST_TEST(running.hold(http::held_part::message, 4000 * kilobyte));
    auto next = holder{memory};
    BOOST_TEST(!next.hold(http::held_part::message, 4000 * kilobyte));
    BOOST_TEST(!running.is_evicted());
    BOOST_TEST(memory->counts().refused_ == 1U);
    // A part that could not grow is as it was.
    BOOST_TEST(memory->counts().held_ == 4000 * kilobyte);
}

BOOST_AUTO_TEST_CASE(large_requests_leave_memory_to_small_ones)
{
    const auto memory = std::make_shared<http::caller_memory>(limit);
    auto large = std::vector<std::unique_ptr<holder>>{};
    auto has_room = true;
    while (has_room) {
        large.push_back(std::make_unique<holder>(memory));
        has_room = large.back()->hold(http::held_part::message, 500 * kilobyte);
    }
    for (auto count = 0; count < 10; ++count) {
        large.push_back(std::make_unique<holder>(memory));
        BOOST_TEST(large.back()->hold(http::held_part::connection, 48 * kilobyte));
        BOOST_TEST(large.back()->hold(http::held_part::message, 64 * kilobyte));
    }
}

BOOST_AUTO_TEST_CASE(who_holds_most_for_the_longest_gives_way)
{
    const auto memory = std::make_shared<http::caller_memory>(limit);
    auto stopped = holder{memory};
    BOOST_TEST(stopped.hold(http::held_part::message, 2000 * kilobyte));
    stopped.allow_eviction();
    std::this_thread::sleep_for(50ms);
    auto recent = holder{memory};
    BOOST_TEST(recent.hold(http::held_part::message, 2000 * kilobyte));
    recent.allow_eviction();
    auto small = holder{memory};
    BOOST_TEST(small.hold(http::held_part::message, 10 * kilobyte));
    small.allow_eviction();
    auto next = holder{memory};
    next.allow_eviction();
    BOOST_TEST(next.hold(http::held_part::message, 2000 * kilobyte));
    BOOST_TEST(stopped.is_evicted());
    BOOST_TEST(!recent.is_evicted());
    BOOST_TEST(!small.is_evicted());
    BOOST_TEST(memory->counts().evicted_ == 1U);
    // What gave way holds nothing any more.
    BOOST_TEST(memory->counts().held_ == 4010 * kilobyte);
}

BOOST_AUTO_TEST_CASE(the_heaviest_makes_nobody_else_give_way)
{
    const auto memory = std::make_shared<http::caller_memory>(limit);
    auto heavy = holder{memory};
    BOOST_TEST(heavy.hold(http::held_part::message, 4000 * kilobyte));
    heavy.allow_eviction();
    std::this_thread::sleep_for(20ms);
    auto light = holder{memory};
    BOOST_TEST(light.hold(http::held_part::message, 100 * kilobyte));
    light.allow_eviction();
    BOOST_TEST(!heavy.hold(http::held_part::message, 8000 * kilobyte));
    BOOST_TEST(!light.is_evicted());
}

BOOST_AUTO_TEST_CASE(refusals_take_nothing_from_others)
{
    const auto memory = std::make_shared<http::caller_memory>(limit);
    auto refusals = std::vector<std::unique_ptr<holder>>{};
    auto has_room = true;
    while (has_room) {
        refusals.push_back(std::make_unique<holder>(memory));
        has_room = refusals.back()->hold(http::held_part::refusal, 48 * kilobyte);
    }
    BOOST_TEST(refusals.size() > 1U);
    auto large = holder{memory};
    BOOST_TEST(large.hold(http::held_part::message, 5000 * kilobyte));
}

BOOST_AUTO_TEST_CASE(a_single_request_inside_the_limits_fits)
{
    constexpr auto largest_body = std::size_t{20'000} * kilobyte;
    constexpr auto largest_head = 16 * kilobyte;
    const auto memory = std::make_shared<http::caller_memory>(limit);
    memory->fit_request(largest_head, largest_body);
    auto one = holder{memory};
    BOOST_TEST(one.hold(http::held_part::connection, 48 * kilobyte));
    BOOST_TEST(one.hold(http::held_part::message, 2 * largest_body + largest_head));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
