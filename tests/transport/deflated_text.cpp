#include "transport/deflate/deflated_text.hpp"
#include "state/error.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

namespace buckthorndale::tests {

namespace {

constexpr auto max_bytes = std::size_t{1'000'000};

/// Repetitive text, like a configuration with many routes.
auto long_text(int routes) -> std::string
{
    auto text = std::string{};
    for (auto route = 0; route < routes; ++route)
        text += R"({"host":"caller.example","pathPrefix":"/part)" + std::to_string(route * 7919) + R"(/"},)";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(deflated_text)

BOOST_AUTO_TEST_CASE(texts_come_back_as_they_were)
{
    for (const auto& text : {std::string{}, std::string{"a"}, std::string(70'000, 'x'), long_text(1800)})
        BOOST_TEST((transport::deflate::inflated(transport::deflate::deflated(text), max_bytes) == text));
}

/// Property: texts of any length and byte distribution survive a round trip.
BOOST_AUTO_TEST_CASE(texts_of_any_length_come_back)
{
    auto random = std::mt19937{20'262};
    auto mismatches = 0;
    for (auto round = 0; round < 4000; ++round) {
        auto text = std::string(random() % (round % 10 == 0 ? 60'000U : 3000U), 'x');
        const auto letters = 1U + random() % 255U;
        for (auto& byte : text)
            byte = static_cast<char>(random() % letters);
        try {
            mismatches +=
                transport::deflate::inflated(transport::deflate::deflated(text), max_bytes) == text ? 0 : 1;
        } catch (const state::error&) {
            ++mismatches;
        }
    }
    BOOST_TEST(mismatches == 0);
}

BOOST_AUTO_TEST_CASE(a_configuration_of_many_routes_becomes_far_shorter)
{
    const auto text = long_text(1800);
    BOOST_TEST(transport::deflate::deflated(text).size() * 5 < text.size());
}

BOOST_AUTO_TEST_CASE(a_text_beyond_the_bound_is_an_error)
{
    const auto bytes = transport::deflate::deflated(std::string(100'000, 'x'));
    BOOST_CHECK_THROW(transport::deflate::inflated(bytes, 99'999), state::error);
    BOOST_TEST(transport::deflate::inflated(bytes, 100'000).size() == 100'000U);
}

/// Property: any input is either decompressed or rejected with an error, without hanging.
BOOST_AUTO_TEST_CASE(damaged_bytes_are_read_or_refused)
{
    auto random = std::mt19937{20'261};
    const auto intact = transport::deflate::deflated(long_text(50));
    auto refused = 0;
    for (auto round = 0; round < 3000; ++round) {
        auto bytes = intact;
        if (round % 3 == 0)
            bytes.resize(random() % bytes.size());
        for (auto damaged_bytes = random() % 4; damaged_bytes > 0 && !bytes.empty(); --damaged_bytes)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        try {
            transport::deflate::inflated(bytes, max_bytes);
        } catch (const state::error&) {
            ++refused;
        }
    }
    BOOST_TEST(refused > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
