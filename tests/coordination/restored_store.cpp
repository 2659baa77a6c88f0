#include "coordination/forwarding/endpoint_directory.hpp"

#include <boost/test/unit_test.hpp>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace forwarding = coordination::forwarding;

const auto service = state::service_name{"advice"};

auto at(state::duration time) -> state::time_point
{
    return state::time_point{time};
}

auto endpoint(const std::string& id, bool is_draining = false, std::uint64_t registered_at = 4)
    -> state::registered_endpoint
{
    return {.id_ = state::endpoint_id{id},
            .service_ = service,
            .is_draining_ = is_draining,
            .incarnation_ = 1'700'000'000'000,
            .registered_at_ = registered_at};
}

/// Whether new requests may go to the endpoint.
auto is_usable(const forwarding::endpoint_directory& directory, const std::string& id, state::time_point now)
    -> bool
{
    for (const auto& item : directory.current(now)) {
        if (item.id_.text() == id)
            return !item.is_draining_;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store)

BOOST_AUTO_TEST_CASE(an_endpoint_that_left_is_not_used_again_because_of_the_copy)
{
    auto directory = forwarding::endpoint_directory{};
    directory.list({endpoint("drained"), endpoint("removed"), endpoint("stays")}, at(1s));
    directory.list({endpoint("drained", true), endpoint("stays")}, at(2s));
    directory.mark_store_unavailable();
    directory.mark_store_restored(at(3s));
    directory.mark_store_available(at(3s));
    directory.list({endpoint("drained"), endpoint("removed"), endpoint("stays")}, at(3s));
    BOOST_TEST(is_usable(directory, "stays", at(3s)));
    BOOST_TEST(!is_usable(directory, "drained", at(3s)));
    BOOST_TEST(!is_usable(directory, "removed", at(3s)));
    // One that registers again is alive. The platform corrects the other entries within some seconds.
    directory.list({endpoint("drained"), endpoint("removed", false, 9)}, at(4s));
    BOOST_TEST(is_usable(directory, "removed", at(4s)));
    BOOST_REQUIRE(directory.next_expiry(at(6s)).has_value());
    BOOST_TEST(is_usable(directory, "drained", *directory.next_expiry(at(6s))));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_the_copy_lacks_is_kept_for_two_seconds)
{
    auto directory = forwarding::endpoint_directory{};
    directory.list({endpoint("e1")}, at(1s));
    directory.mark_store_unavailable();
    directory.mark_store_restored(at(3s));
    directory.list({}, at(3s));
    directory.mark_store_available(at(3s));
    BOOST_TEST(is_usable(directory, "e1", at(4900ms)));
    BOOST_REQUIRE(directory.next_expiry(at(3s)).has_value());
    BOOST_TEST(!is_usable(directory, "e1", *directory.next_expiry(at(3s))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
