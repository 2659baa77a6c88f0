#include "coordination/time/seeded_random.hpp"
#include "protocol/caller/chat_request.hpp"
#include "protocol/codec/bill_codec.hpp"
#include "protocol/codec/configuration_codec.hpp"
#include "protocol/event_stream/parser.hpp"
#include "protocol/json/text.hpp"
#include "protocol/rpc/message_codec.hpp"
#include "state/error.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>
#include <vector>

namespace buckthorndale::tests {

namespace {

using state::error_kind;

auto make_reader(const Json::Value& value) -> protocol::json::object_reader
{
    return {value, "", error_kind::invalid_request};
}

auto sample_change() -> state::configuration_change
{
    return {.generation_ = state::generation{7},
            .id_ = state::change_id{"c7"},
            .author_ = "operator",
            .made_at_ = state::wall_time{std::chrono::milliseconds{1'700'000'000'000}},
            .previous_chain_ = 0xffff'ffff'ffff'ffffULL,
            .content_ = state::profile{.name_ = state::profile_name{"careful"},
                                       .versions_ = {state::version_key_from_text("small@1")},
                                       .quality_target_ = state::permille{800}}};
}

auto sample_bill() -> state::bill_record
{
    return {.key_ = {.workspace_ = state::workspace_id{"harbour"}, .request_ = state::request_id{"r1"}},
            .profile_ = state::profile_name{"careful"},
            .origin_ = state::instance_id{"entry-1"},
            .origin_incarnation_ = state::incarnation{0xffff'ffff'ffff'ffffULL},
            .sequence_ = 3,
            .completed_ = state::wall_time{std::chrono::milliseconds{5}},
            .parts_ = {{.version_ = state::version_key_from_text("small@1"),
                        .tokens_ = state::token_count{10},
                        .cost_ = state::micro_credits{20}}}};
}

/// Mutates a text at random offsets. Reading it must either succeed or throw state::error.
auto check_damaged(const std::string& text, const std::function<void(const std::string&)>& read) -> void
{
    constexpr auto tries = 3000;
    constexpr auto max_mutations = std::uint64_t{4};
    constexpr auto byte_values = std::uint64_t{256};
    auto random = coordination::time::seeded_random{1};
    for (auto attempt = 0; attempt < tries; ++attempt) {
        auto damaged = text;
        for (auto mutation = random.below(max_mutations) + 1; mutation > 0; --mutation) {
            const auto offset = static_cast<std::size_t>(random.below(damaged.size()));
            if (random.chance(0.3))
                damaged.erase(offset, 1 + random.below(3));
            else
                damaged[offset] = static_cast<char>(random.below(byte_values));
            if (damaged.empty())
                damaged = "x";
        }
        try {
            read(damaged);
        } catch (const state::error&) {
            // state::error is the expected failure for damaged input.
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(codecs)

BOOST_AUTO_TEST_CASE(change_survives_a_round_trip)
{
    const auto text = protocol::json::to_text(protocol::codec::to_json(sample_change()));
    const auto value = protocol::json::parse(text, error_kind::invalid_request);
    BOOST_CHECK(protocol::codec::read_change(make_reader(value)) == sample_change());
}

BOOST_AUTO_TEST_CASE(bill_survives_a_round_trip)
{
    const auto text = protocol::json::to_text(protocol::codec::to_json(sample_bill()));
    const auto value = protocol::json::parse(text, error_kind::invalid_request);
    BOOST_CHECK(protocol::codec::read_bill_record(make_reader(value)) == sample_bill());
}

BOOST_AUTO_TEST_CASE(settings_may_have_comments_and_errors_name_the_path)
{
    const auto value =
        protocol::json::parse_settings("{ // a comment\n \"limits\": { \"size\": 5000, \"odd\": 1 } }");
    auto limits = make_reader(value).child("limits");
    try {
        limits.integer("size", 1, 100);
        BOOST_ERROR("a value out of range must be rejected");
    } catch (const state::error& fault) {
        BOOST_CHECK_EQUAL(std::string{fault.what()},
                          "'limits.size' is out of range. Remedy: Give a number from 1 to 100.");
    }
    BOOST_CHECK_THROW(limits.finish(), state::error);
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_refused)
{
    const auto text = std::string(100'000, '[');
    BOOST_CHECK_THROW(protocol::json::parse(text, error_kind::invalid_request), state::error);
}

// One unreadable entry made the whole list of endpoints unreadable.
BOOST_AUTO_TEST_CASE(an_unreadable_part_spoils_no_other_part)
{
    const auto levels = 3;
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    const auto bad_specs = std::vector<std::string>{R"({"zone":"half \ud83d"})",
                                                    R"({"slots":1e400})",
                                                    R"({"slots":)" + nested(70) + "}",
                                                    R"({"slots":)" + nested(100'000) + "}",
                                                    R"({"slots":1,"slots":2})",
                                                    R"({"slots":[1})",
                                                    R"({"slots":})",
                                                    R"({"slots" 1})",
                                                    "nothing",
                                                    "not json",
                                                    "{} x",
                                                    ""};
    for (const auto& bad : bad_specs) {
        const auto text = R"({"items":[{"metadata":{"name":"a"},"spec":{"slots":1}},)"
                          R"({"metadata":{"name":"b"},"spec":)" +
                          bad + R"(},{"metadata":{"name":"c"},"spec":{"slots":3}}],"currentRev":7})";
        BOOST_CHECK_THROW(protocol::json::parse(text, state::error_kind::invalid_request), state::error);
        const auto parsed =
            protocol::json::parse_readable_parts(text, levels, state::error_kind::invalid_request);
        const auto& items = parsed.value_["items"];
        BOOST_REQUIRE(items.size() == 3U);
        BOOST_TEST(items[0]["spec"]["slots"].asInt() == 1);
        BOOST_TEST(items[1]["metadata"]["name"].asString() == "b");
        BOOST_TEST(items[1]["spec"].isNull());
        BOOST_TEST(items[2]["spec"]["slots"].asInt() == 3);
        BOOST_TEST(parsed.value_["currentRev"].asInt() == 7);
        BOOST_REQUIRE(parsed.unreadable_.size() == 1U);
        BOOST_TEST(parsed.unreadable_.front().path_ == "items[1].spec");
        // Instances pass on what they could read.
        BOOST_CHECK_NO_THROW(protocol::json::parse(protocol::json::to_text(parsed.value_),
                                                   state::error_kind::invalid_request));
    }
}

BOOST_AUTO_TEST_CASE(a_text_that_is_unreadable_as_a_whole_gives_a_typed_error)
{
    for (const auto* text : {"", "{", "[", "nothing", R"({"a":1}})", R"({"a":1} b)", R"({"a":1,"a":2})"})
        BOOST_CHECK_THROW(protocol::json::parse_readable_parts(text, 3, state::error_kind::invalid_request),
                          state::error);
}

BOOST_AUTO_TEST_CASE(damaged_text_gives_typed_errors)
{
    using protocol::json::parse;
    check_damaged(protocol::json::to_text(protocol::codec::to_json(sample_change())),
                  [](const std::string& text) {
                      const auto value = parse(text, error_kind::invalid_request);
                      protocol::codec::read_change(make_reader(value));
                  });
    check_damaged(protocol::json::to_text(protocol::codec::to_json(sample_bill())),
                  [](const std::string& text) {
                      const auto value = parse(text, error_kind::invalid_request);
                      protocol::codec::read_bill_record(make_reader(value));
                  });
    const auto hello = protocol::rpc::hello_request{.router_ = {.host_ = "127.0.0.1", .port_ = 1}};
    check_damaged(protocol::json::to_text(protocol::rpc::to_json(hello)), [](const std::string& text) {
        protocol::rpc::read_hello_request(parse(text, error_kind::invalid_request));
    });
    check_damaged(R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]})",
                  [](const std::string& text) {
                      const auto request = protocol::caller::chat_request{text};
                      request.engine_body(state::model_name{"m"});
                      request.content();
                      request.prefix();
                      request.last_message();
                  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(event_stream)

BOOST_AUTO_TEST_CASE(events_do_not_depend_on_chunk_boundaries)
{
    using protocol::event_stream::event;
    const auto events =
        std::vector<event>{{.id_ = "0", .data_ = "a"}, {.type_ = "error", .data_ = "b\nc"}, {.data_ = ""}};
    auto text = std::string{": a comment\n"};
    for (const auto& item : events)
        text += protocol::event_stream::to_text(item);
    for (auto size = std::size_t{1}; size <= text.size(); ++size) {
        auto parser = protocol::event_stream::parser{};
        auto found = std::vector<event>{};
        for (auto offset = std::size_t{0}; offset < text.size(); offset += size) {
            for (auto& item : parser.feed(std::string_view{text}.substr(offset, size)))
                found.push_back(std::move(item));
        }
        BOOST_CHECK(found == events);
        BOOST_CHECK(!parser.has_partial_event());
    }
}

BOOST_AUTO_TEST_CASE(incomplete_event_is_not_returned)
{
    auto parser = protocol::event_stream::parser{};
    BOOST_CHECK(parser.feed("id: 1\ndata: half").empty());
    BOOST_CHECK(parser.has_partial_event());
}

BOOST_AUTO_TEST_CASE(oversized_event_is_refused)
{
    auto parser = protocol::event_stream::parser{};
    const auto chunk = std::string(protocol::event_stream::parser::max_event_size / 2 + 1, 'x');
    parser.feed("data: " + chunk);
    BOOST_CHECK_THROW(parser.feed(chunk), state::error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
