#include "state/error.hpp"
#include "state/invariant.hpp"
#include "state/network_address.hpp"
#include "state/session_pin.hpp"
#include "state/version_key.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace buckthorndale::tests {

BOOST_AUTO_TEST_SUITE(identifiers)

BOOST_AUTO_TEST_CASE(version_is_read_and_written)
{
    const auto key = state::version_key_from_text("small@2");
    BOOST_CHECK_EQUAL(key.model_.text(), "small");
    BOOST_CHECK_EQUAL(key.text(), "small@2");
    for (const auto* text : {"", "small", "@2", "small@"})
        BOOST_CHECK_THROW(state::version_key_from_text(text), state::error);
}

BOOST_AUTO_TEST_CASE(address_is_checked)
{
    BOOST_CHECK_EQUAL(state::network_address_from_text("127.0.0.1:80").port_, 80);
    for (const auto* text : {"", "127.0.0.1", ":80", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:8x"})
        BOOST_CHECK_THROW(state::network_address_from_text(text), state::error);
}

BOOST_AUTO_TEST_CASE(session_token_survives_a_round_trip)
{
    const auto pin = state::session_pin{.session_ = state::session_id{"a.b\xc3\xbc c"},
                                        .version_ = state::version_key_from_text("small@2")};
    BOOST_CHECK(state::session_pin_from_token(state::session_token(pin)) == pin);
}

BOOST_AUTO_TEST_CASE(damaged_session_token_is_refused)
{
    const auto token = state::session_token(
        {.session_ = state::session_id{"s"}, .version_ = state::version_key_from_text("small@2")});
    for (auto position = std::size_t{0}; position < token.size(); ++position) {
        auto damaged = token;
        damaged[position] = damaged[position] == '1' ? '2' : '1';
        BOOST_CHECK_THROW(state::session_pin_from_token(damaged), state::error);
    }
    for (const auto* text : {"", ".", "..", "a.b.c", "zz.zz.0"})
        BOOST_CHECK_THROW(state::session_pin_from_token(text), state::error);
}

BOOST_AUTO_TEST_CASE(violation_names_its_guarantee)
{
    try {
        state::verify(false, state::guarantee::billed_once, "twice");
        BOOST_ERROR("a violation must be thrown");
    } catch (const state::invariant_violation& breach) {
        BOOST_CHECK(breach.which() == state::guarantee::billed_once);
        BOOST_CHECK(std::string{breach.what()}.starts_with("billed once: twice"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
