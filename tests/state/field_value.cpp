#include "state/field_value.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace buckthorndale::tests {

BOOST_AUTO_TEST_SUITE(field_value)

BOOST_AUTO_TEST_CASE(a_text_that_arrives_unchanged_is_a_value)
{
    for (const auto* text : {"", "desk-1", "a b&c=d+e#f%41/g \"h\"", "caf\xc3\xa9", "a\tb"})
        BOOST_TEST(state::is_field_value(text));
}

BOOST_AUTO_TEST_CASE(a_text_that_a_receiver_would_read_otherwise_is_none)
{
    for (const auto* text : {" a", "a ", "\ta", "a\t", "a\r\nX-Hold: 1", "a\nb", "a\rb", "a\x01", "a\x7f"})
        BOOST_TEST(!state::is_field_value(text));
    BOOST_TEST(!state::is_field_value(std::string{"a\0b", 3}));
    constexpr auto too_long = std::size_t{100'000};
    BOOST_TEST(!state::is_field_value(std::string(too_long, 'a')));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
