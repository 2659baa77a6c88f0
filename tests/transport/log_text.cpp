#include "transport/logging/log_text.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

namespace buckthorndale::tests {

namespace logging = transport::logging;

BOOST_AUTO_TEST_SUITE(log_text)

BOOST_AUTO_TEST_CASE(a_field_is_one_word)
{
    BOOST_TEST(logging::field_text("desk-1/b@2") == "desk-1/b@2");
    BOOST_TEST(logging::field_text("a b=\"c\"\n\xc3\xa9\x7f") == "a%20b=%22c%22%0A%C3%A9%7F");
    BOOST_TEST(logging::field_text(std::string{"a\0b", 3}) == "a%00b");
}

BOOST_AUTO_TEST_CASE(a_quoted_text_holds_no_quote)
{
    BOOST_TEST(logging::quoted_text("'a' b \"c\"\r\n") == "'a' b %22c%22%0D%0A");
}

BOOST_AUTO_TEST_CASE(a_line_is_one_line_and_bounded)
{
    constexpr auto max_length = std::size_t{4096};
    constexpr auto long_length = std::size_t{1'000'000};
    BOOST_TEST(logging::line_text("a=1 reason=\"b\" \xc3\xa9") == "a=1 reason=\"b\" \xc3\xa9");
    BOOST_TEST(logging::line_text("a\nb\r\tc") == "a%0Ab%0D%09c");
    for (const auto character : {'x', '\n'}) {
        const auto line = logging::line_text(std::string(long_length, character));
        BOOST_TEST(line.size() <= max_length);
        BOOST_TEST(line.ends_with("..."));
        BOOST_TEST(std::ranges::count(line, '\n') == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
