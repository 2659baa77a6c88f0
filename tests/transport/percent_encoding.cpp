#include "transport/http/percent_encoding.hpp"

#include "transport/http/query.hpp"

#include <boost/test/unit_test.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <string>

namespace buckthorndale::tests {

namespace http = transport::http;

namespace {

/// Every byte, in order.
auto all_bytes() -> std::string
{
    constexpr auto byte_count = 256;
    auto text = std::string{};
    for (auto byte = 0; byte < byte_count; ++byte)
        text.push_back(static_cast<char>(byte));
    return text;
}

/// Reads a target as a server does; throws if it is none.
auto read(const std::string& target) -> boost::urls::url_view
{
    return boost::urls::parse_origin_form(target).value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(percent_encoding)

BOOST_AUTO_TEST_CASE(any_text_is_one_segment_of_a_path)
{
    const auto target = "/objects/" + http::encode_component(all_bytes()) + "/status";
    const auto segments = read(target).segments();
    BOOST_TEST(segments.size() == 3U);
    auto found = segments.begin();
    ++found;
    BOOST_TEST((*found == all_bytes()));
}

BOOST_AUTO_TEST_CASE(any_text_is_the_value_of_one_parameter)
{
    const auto target = "/objects?after=" + http::encode_component(all_bytes()) + "&most=5";
    const auto parameters = read(target).params();
    BOOST_TEST(parameters.size() == 2U);
    BOOST_TEST(((*parameters.find("after")).value == all_bytes()));
    BOOST_TEST((http::query_text(http::split_target(target).query_, "after") == all_bytes()));
}

BOOST_AUTO_TEST_CASE(slashes_separate_the_segments_of_a_path)
{
    const auto target = "/objects/" + http::encode_path("ledger/front 1?&#%+-7");
    const auto segments = read(target).segments();
    BOOST_TEST(segments.size() == 3U);
    BOOST_TEST((segments.back() == "front 1?&#%+-7"));
}

BOOST_AUTO_TEST_CASE(what_a_target_may_hold_is_kept)
{
    BOOST_TEST(http::encode_target("/health/a-b_c.d~e;f=1,2:3@4!$&'()*+%2F?x=1&y=%20") ==
               "/health/a-b_c.d~e;f=1,2:3@4!$&'()*+%2F?x=1&y=%20");
    BOOST_TEST(http::encode_target("/health check\r\nX-Hold: 1#part") ==
               "/health%20check%0D%0AX-Hold:%201%23part");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
