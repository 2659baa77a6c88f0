#include "coordination/time/seeded_random.hpp"
#include "platform/caller_codec.hpp"
#include "platform/endpoint_codec.hpp"
#include "platform/endpoint_reader.hpp"
#include "platform/names.hpp"
#include "platform/object_codec.hpp"
#include "protocol/json/text.hpp"
#include "state/error.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace http = transport::http;

constexpr auto configuration_text = R"({
  "metadata": { "name": "main", "revision": 7, "created": 3 },
  "spec": {
    "version": 12, "unknown": true,
    "routes": [
      { "name": "r1", "host": "h", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 15000.0,
        "targetLatencyMs": 3000, "targetGapMs": 800, "priority": 1, "sizes": ["s", "l"], "maxAttempts": 3,
        "resumable": true, "trafficSplit": [ { "service": "x", "weight": 90 }, { "service": "y", "weight": 10 } ] },
      { "name": "r2", "host": "h", "pathPrefix": "/a/b/", "kind": "non_idempotent", "service": "z", "anonymous": true }
    ],
    "services": [ { "name": "x", "healthPath": "/live", "engine": { "slots": 6 } }, { "name": "y", "healthPath": "/live" } ],
    "limits": { "maxHeaderBytes": 100, "maxBodyBytes": 200, "headerTimeoutMs": 300, "idleTimeoutMs": 400 },
    "tenants": [ { "name": "t", "apiKeys": [ "k1", "k2" ], "priority": 2 } ]
  } })";

constexpr auto endpoint_text = R"({
  "metadata": { "name": "e1", "revision": 9, "created": 4 },
  "spec": { "service": "x", "address": "10.0.0.1:80", "zone": "z1", "version": "v2", "slots": 6,
            "state": "draining", "sequence": 4, "born": 1700000000000 } })";

constexpr auto roll_out_text = R"({
  "metadata": { "name": "x", "revision": 21, "created": 20 },
  "spec": { "service": "x", "target": "v2", "durationS": 16.5 },
  "status": { "state": "running", "target": "v2" } })";

auto value(const std::string& text) -> Json::Value
{
    return protocol::json::parse(text, state::error_kind::invalid_request);
}

auto caller_message() -> http::request
{
    auto message = http::request{http::beast::http::verb::post, "/a/x?y=1", 11};
    message.set("Host", "h");
    message.set("X-Attempt-Id", "a1");
    message.set("X-Deadline-Ms", "15000");
    message.set("X-Model", "*");
    message.set("X-Token-Counts", "1460,80");
    message.set("X-Prompt-Prefix", "5c1e:800,91bd:410,e440:250");
    message.set("Authorization", "Bearer k1");
    message.set("X-Tenant", "forged");
    message.set("X-Hold", "forged");
    message.set("X-Expect-Instance", "forged");
    message.set("Connection", "keep-alive, X-Own");
    message.set("X-Own", "1");
    message.set("X-Other", "2");
    message.body() = "question";
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(codecs)

BOOST_AUTO_TEST_CASE(reads_a_configuration)
{
    const auto table = platform::read_routing_table(value(configuration_text));
    BOOST_TEST(table.generation_.value() == 12U);
    BOOST_REQUIRE(table.routes_.size() == 2U);
    const auto& stream = table.routes_.front();
    BOOST_CHECK(stream.kind_ == state::request_kind::stream);
    BOOST_CHECK(stream.time_limit_ == 15s);
    BOOST_CHECK(stream.gap_objective_ == 800ms);
    BOOST_TEST(stream.targets_.at(1).weight_ == 10);
    BOOST_TEST(stream.is_repeatable());
    BOOST_TEST(!table.routes_.back().is_repeatable());
    BOOST_TEST(table.limits_.largest_body_ == 200U);
    BOOST_TEST(table.keys_.at("k2").workspace_.text() == "t");
    BOOST_TEST(table.keys_.at("k2").priority_.value() == 2);
    BOOST_TEST(table.find_route("h", "/a/b/c")->name_ == "r2");
    BOOST_TEST(table.find_route("h", "/a/c")->name_ == "r1");
    BOOST_CHECK(table.find_route("h", "/c/") == nullptr);
    BOOST_CHECK(table.find_route("other", "/a/") == nullptr);
    // Model endpoints report their state without a slot; other ones answer their health check.
    BOOST_TEST(table.probe_path(state::service_name{"x"}) == "/report");
    BOOST_TEST(table.probe_path(state::service_name{"y"}) == "/live");
    BOOST_TEST(table.probe_path(state::service_name{"unknown"}) == "/");
}

/// Guards against registrations of an earlier era or revision that are taken for the current ones.
// A route of a low rank kept the whole configuration out of force.
BOOST_AUTO_TEST_CASE(a_route_of_a_low_rank_spoils_no_configuration)
{
    auto text = std::string{configuration_text};
    text.replace(text.find(R"("priority": 1)"), 13, R"("priority": 12)");
    const auto table = platform::read_routing_table(value(text));
    BOOST_TEST(table.routes_.front().priority_ == 9);
    BOOST_TEST(table.generation_.value() == 12U);
}

BOOST_AUTO_TEST_CASE(a_registration_is_read_again_when_its_object_or_the_era_changes)
{
    auto reader = platform::endpoint_reader{};
    auto objects = std::map<std::string, Json::Value>{{"e1", value(endpoint_text)}, {"bad", value("{}")}};
    auto read = reader.read(objects, state::store_era{1});
    BOOST_REQUIRE(read.endpoints_.size() == 1U);
    BOOST_TEST(read.endpoints_.front().is_draining_);
    BOOST_TEST(read.invalid_.size() == 1U);
    objects["e1"]["spec"]["state"] = "ready";
    BOOST_TEST(reader.read(objects, state::store_era{1}).endpoints_.front().is_draining_);
    objects["e1"]["metadata"]["revision"] = 10;
    BOOST_TEST(!reader.read(objects, state::store_era{1}).endpoints_.front().is_draining_);
    objects["e1"]["spec"]["state"] = "draining";
    BOOST_TEST(reader.read(objects, state::store_era{2}).endpoints_.front().is_draining_);
    objects.erase("e1");
    BOOST_TEST(reader.read(objects, state::store_era{2}).endpoints_.empty());
}

BOOST_AUTO_TEST_CASE(reads_an_endpoint)
{
    const auto endpoint = platform::read_endpoint(value(endpoint_text));
    BOOST_TEST(endpoint.id_.text() == "e1");
    BOOST_TEST(endpoint.address_.text() == "10.0.0.1:80");
    BOOST_TEST(endpoint.is_draining_);
    BOOST_TEST(endpoint.incarnation_ == 1'700'000'000'000U);
    BOOST_TEST(endpoint.registered_at_ == 4U);
}

/// Guards against a name that endpoints would take for another one, or for further headers.
BOOST_AUTO_TEST_CASE(an_endpoint_that_no_header_can_name_is_none)
{
    auto object = value(endpoint_text);
    for (const auto* name : {"a b&c=d+e#f%41/g", "\"e1\"", "caf\xc3\xa9"}) {
        object["metadata"]["name"] = name;
        BOOST_TEST(platform::read_endpoint(object).id_.text() == name);
    }
    for (const auto* name : {"e1\r\nX-Hold: 1", "e1\n", " e1", "e1 ", "e1\x01"}) {
        object["metadata"]["name"] = name;
        BOOST_CHECK_THROW(platform::read_endpoint(object), state::error);
    }
}

/// Guards against a name that fits into no datagram, and keeps the reports on all services from being sent.
BOOST_AUTO_TEST_CASE(names_longer_than_a_datagram_are_refused)
{
    constexpr auto datagram_bytes = std::size_t{65'507};
    const auto name = std::string(datagram_bytes, 'x');
    for (const auto* field : {"service", "zone", "version"}) {
        auto object = value(endpoint_text);
        object["spec"][field] = name;
        BOOST_CHECK_THROW(platform::read_endpoint(object), state::error);
    }
    for (const auto* field : {"service", "target"}) {
        auto object = value(roll_out_text);
        object["spec"][field] = name;
        BOOST_CHECK_THROW(platform::read_roll_out(object), state::error);
    }
}

BOOST_AUTO_TEST_CASE(workspaces_and_models_that_no_header_can_name_spoil_no_configuration)
{
    auto object = value(configuration_text);
    auto workspace = Json::Value{Json::objectValue};
    workspace["name"] = "t\r\nX-Hold: 1";
    workspace["apiKeys"].append("k3");
    object["spec"]["tenants"].append(workspace);
    object["spec"]["routes"][0]["sizes"].append(" l");
    const auto table = platform::read_routing_table(object);
    BOOST_TEST(table.keys_.contains("k1"));
    BOOST_TEST(!table.keys_.contains("k3"));
    BOOST_TEST(table.routes_.front().models_.size() == 2U);
    BOOST_TEST(table.unusable_names_.size() == 2U);
    // A route without models would pass on any that a caller names.
    object["spec"]["routes"][0]["sizes"] = Json::Value{Json::arrayValue};
    object["spec"]["routes"][0]["sizes"].append(" l");
    BOOST_CHECK_THROW(platform::read_routing_table(object), state::error);
}

BOOST_AUTO_TEST_CASE(reads_what_cold_endpoints_bear)
{
    auto object = value(configuration_text);
    auto& service = object["spec"]["services"][0];
    BOOST_TEST(platform::read_routing_table(object).cold_starts_.empty());
    service["coldStartS"] = 3.0;
    service["coldPerS"] = 6.1;
    const auto table = platform::read_routing_table(object);
    BOOST_REQUIRE(table.cold_starts_.contains(state::service_name{"x"}));
    BOOST_TEST(
        (table.cold_starts_.at(state::service_name{"x"}) == state::cold_start{.time_ = 3s, .rate_ = 6.1}));
    // Services that know no cold time, and values that make no sense, bind nothing and spoil nothing.
    for (const auto& rate : {Json::Value{0.0}, Json::Value{-1}, Json::Value{"many"}, Json::Value{}}) {
        service["coldPerS"] = rate;
        BOOST_TEST(platform::read_routing_table(object).cold_starts_.empty());
    }
}

BOOST_AUTO_TEST_CASE(reads_how_long_an_endpoint_stays_cold)
{
    auto object = value(endpoint_text);
    BOOST_TEST(!platform::read_endpoint(object).cold_left_.has_value());
    object["spec"]["coldLeftMs"] = 1800;
    BOOST_TEST((platform::read_endpoint(object).cold_left_ == 1800ms));
    BOOST_TEST(platform::read_endpoint(object).entry_revision_ == 9U);
    object["spec"]["coldLeftMs"] = -5;
    BOOST_TEST((platform::read_endpoint(object).cold_left_ == 0ms));
    object["spec"]["coldLeftMs"] = "soon";
    BOOST_TEST(!platform::read_endpoint(object).cold_left_.has_value());

    auto head = http::response::header_type{};
    head.set("X-Cold-Ms", "1250.5");
    BOOST_TEST((platform::read_notice(head).cold_left_ == 1250500us));
    for (const auto* const text : {"", "soon", "-1", "nan", "99999999999"}) {
        head.set("X-Cold-Ms", text);
        BOOST_TEST(!platform::read_notice(head).cold_left_.has_value());
    }
}

BOOST_AUTO_TEST_CASE(reads_a_roll_out_and_ignores_the_status_of_an_earlier_one)
{
    auto object = value(roll_out_text);
    auto roll_out = platform::read_roll_out(object);
    BOOST_CHECK(roll_out.time_allowed_ == 16'500ms);
    BOOST_CHECK(roll_out.state_ == state::staged_roll_out_state::running);
    object["status"]["target"] = "v1";
    BOOST_CHECK(platform::read_roll_out(object).state_ == state::staged_roll_out_state::ordered);
    const auto status = platform::roll_out_status(roll_out, state::staged_roll_out_state::rolled_back);
    BOOST_TEST(status["state"].asString() == "rolled_back");
    BOOST_TEST(status["target"].asString() == "v2");
}

BOOST_AUTO_TEST_CASE(damaged_objects_give_an_error_and_nothing_else)
{
    auto random = coordination::time::seeded_random{17};
    const auto replacements = std::vector<Json::Value>{Json::Value{},
                                                       Json::Value{-1},
                                                       Json::Value{"text"},
                                                       Json::Value{1e300},
                                                       Json::Value{Json::arrayValue},
                                                       Json::Value{Json::objectValue}};
    auto rejected = 0;
    for (auto round = 0; round < 3000; ++round) {
        auto texts = std::vector<std::string>{configuration_text, endpoint_text, roll_out_text};
        const auto which = random.below(texts.size());
        auto object = value(texts.at(which));
        auto* part = &object[random.chance(0.8) ? "spec" : "metadata"];
        while (part->isObject() && !part->empty() && random.chance(0.8))
            part = &(*part)[part->getMemberNames().at(random.below(part->size()))];
        *part = replacements.at(random.below(replacements.size()));
        try {
            if (which == 0)
                platform::read_routing_table(object);
            else if (which == 1)
                platform::read_endpoint(object);
            else
                platform::read_roll_out(object);
        } catch (const state::error& error) {
            BOOST_TEST(!error.remedy().empty());
            ++rejected;
        }
    }
    BOOST_TEST(rejected > 500);
}

BOOST_AUTO_TEST_CASE(reads_a_request)
{
    const auto request = platform::read_request(caller_message());
    BOOST_TEST(request.id_.text() == "a1");
    BOOST_TEST(request.host_ == "h");
    BOOST_TEST(request.path_ == "/a/x");
    BOOST_TEST(request.key_ == "k1");
    BOOST_CHECK(request.time_allowed_ == 15s);
    BOOST_TEST(request.router_chooses_model_);
    BOOST_TEST(request.max_answer_tokens_.value() == 80);
    BOOST_REQUIRE(request.prompt_.size() == 3U);
    BOOST_TEST(request.prompt_.at(1).id_ == "91bd");
    BOOST_TEST(request.prompt_.at(1).tokens_.value() == 410);
    auto without_id = caller_message();
    without_id.erase("X-Attempt-Id");
    BOOST_CHECK_THROW(platform::read_request(without_id), state::error);
}

BOOST_AUTO_TEST_CASE(copies_of_a_request_have_one_fingerprint)
{
    auto again = caller_message();
    again.set("X-Attempt-Id", "a2");
    const auto first = platform::read_request(caller_message()).content_;
    BOOST_CHECK(platform::read_request(again).content_ == first);
    again.body() = "another";
    BOOST_CHECK(platform::read_request(again).content_ != first);
}

BOOST_AUTO_TEST_CASE(an_endpoint_gets_no_header_that_only_the_router_sets)
{
    const auto now = state::time_point{5s};
    const auto order = coordination::forwarding::forward_command{.endpoint_ = state::endpoint_id{"e1"},
                                                                 .kind_ = state::request_kind::stream,
                                                                 .workspace_ = state::workspace_id{"t"},
                                                                 .model_ = state::model_name{"s"},
                                                                 .priority_ = 1,
                                                                 .deadline_ = now + 1500ms,
                                                                 .resume_after_ = "12"};
    const auto sent = platform::endpoint_request_head(caller_message(), order, now);
    const auto text = [&](std::string_view name) { return http::header_text(sent, name); };
    BOOST_TEST(text("Authorization").empty());
    BOOST_TEST(text("X-Hold").empty());
    BOOST_TEST(text("X-Own").empty());
    BOOST_TEST(text("X-Tenant") == "t");
    BOOST_TEST(text("X-Expect-Instance") == "e1");
    BOOST_TEST(text("X-Model") == "s");
    BOOST_TEST(text("X-Deadline-Ms") == "1500");
    BOOST_TEST(text("Last-Event-Id") == "12");
    BOOST_TEST(text("X-Other") == "2");
    BOOST_TEST(text("Host") == "h");
    // The body is sent from where it is; see connections/a_body_is_sent_beside_its_head.
    BOOST_TEST(sent.body().empty());
}

/// Guards against a path of a health check that ends its request's first line.
BOOST_AUTO_TEST_CASE(a_probe_has_a_target_whatever_path_is_configured)
{
    const auto target_of = [](const std::string& path) {
        return std::string{platform::probe_request(path).target()};
    };
    BOOST_TEST(target_of("/live?deep=1&x=%20") == "/live?deep=1&x=%20");
    BOOST_TEST(target_of("/live check\r\nX-Hold: 1") == "/live%20check%0D%0AX-Hold:%201");
}

BOOST_AUTO_TEST_CASE(the_shutdown_that_an_endpoint_announces_is_read_from_every_answer)
{
    const auto nothing = coordination::forwarding::endpoint_notice{.limit_ = 0.0, .max_declines_ = 0.0};
    for (const auto status : {200U, 421U, 429U, 500U, 503U}) {
        auto response = http::make_response(status, "text/event-stream", "");
        BOOST_TEST((platform::read_notice(response) == nothing));
        response.set("Server-Leaving", "0");
        BOOST_TEST((platform::read_notice(response) == nothing));
        response.set("Server-Leaving", "1");
        BOOST_TEST(platform::read_notice(response).is_leaving_);
    }
}

BOOST_AUTO_TEST_CASE(the_pause_that_an_endpoint_asks_for_is_read_from_a_503_alone)
{
    const auto pause = [](unsigned status, const std::string& text) {
        auto response = http::make_response(status, "text/plain", "");
        response.set("Retry-After", text);
        return platform::read_notice(response).pause_;
    };
    BOOST_TEST((pause(503, "2") == 2s));
    BOOST_TEST((pause(503, "0.25") == 250ms));
    BOOST_TEST((pause(503, "1e300") == 1h));
    for (const auto* const text : {"", "0", "-1", "nan", "2 s", "Wed, 21 Oct 2026 07:28:00 GMT"})
        BOOST_TEST((pause(503, text) == 0s));
    BOOST_TEST((pause(429, "2") == 0s));
    BOOST_TEST((pause(200, "2") == 0s));
}

BOOST_AUTO_TEST_CASE(a_limit_that_cannot_be_read_tells_nothing)
{
    const auto notice = [](const std::string& text) {
        auto response = http::make_response(200, "text/plain", "");
        response.set("Server-Limit", text);
        return platform::read_notice(response);
    };
    BOOST_TEST(notice("0.5").limit_.value() == 0.5);
    BOOST_TEST(notice("1000").limit_.value() == 1000.0);
    for (const auto* const text : {"0", "-1", "nan", "inf", "1e300", "2 a second", "1,5"}) {
        BOOST_TEST(!notice(text).limit_.has_value());
        BOOST_TEST(notice(text).invalid_value_ == text);
    }
}

// A refusal that belonged to an earlier request was believed for the next one.
BOOST_AUTO_TEST_CASE(an_answer_of_another_attempt_tells_nothing)
{
    const auto read = [](unsigned status, const std::string& attempt, bool states_not_run) {
        auto head = http::response{}.base();
        head.result(status);
        if (!attempt.empty())
            head.set("X-Attempt-Id", attempt);
        if (states_not_run)
            head.set("X-Not-Run", "1");
        head.set("X-Response-Stamp", "s");
        head.set("Server-Leaving", "1");
        head.set("Server-Limit", "1");
        head.set("Retry-After", "5");
        return platform::read_response_headers(head, caller_message());
    };
    for (const auto status : {200U, 421U, 429U, 500U, 503U}) {
        const auto foreign = read(status, "a0", true);
        BOOST_TEST(foreign.is_foreign_);
        BOOST_TEST(!foreign.has_not_run_);
        BOOST_TEST(!foreign.is_misdirected_);
        BOOST_TEST(!foreign.is_genuine_);
        BOOST_TEST(!foreign.notice_.is_leaving_);
        BOOST_TEST(!foreign.notice_.limit_.has_value());
        BOOST_TEST(!foreign.notice_.asks_for_pause());
    }
    // Some refusals do not repeat the attempt.
    for (const auto* attempt : {"a1", ""}) {
        BOOST_TEST(read(503, attempt, true).has_not_run_);
        BOOST_TEST(!read(503, attempt, false).has_not_run_);
        BOOST_TEST(read(421, attempt, false).has_not_run_);
        BOOST_TEST(read(200, attempt, false).is_genuine_);
    }
    // A success that states that it has not run contradicts itself.
    BOOST_TEST(!read(200, "a1", true).has_not_run_);
    BOOST_TEST(!read(200, "a1", true).is_genuine_);
}

BOOST_AUTO_TEST_CASE(only_what_has_not_run_is_refused_as_not_run)
{
    using coordination::routing::refusal;
    using coordination::routing::run_state;
    const auto status = [](state::error_kind kind, run_state run) {
        const auto response =
            platform::refusal_response(refusal{.kind_ = kind, .run_ = run, .retry_after_ = 400ms});
        return std::pair{response.result_int(), std::string{response["Retry-After"]}};
    };
    using state::error_kind;
    BOOST_CHECK(
        (status(error_kind::no_capacity, run_state::not_run) == std::pair{503U, std::string{"0.400"}}));
    BOOST_CHECK(
        (status(error_kind::deadline_exceeded, run_state::not_run) == std::pair{503U, std::string{"0.400"}}));
    BOOST_TEST(status(error_kind::no_capacity, run_state::unknown).first == 502U);
    BOOST_TEST(status(error_kind::shutting_down, run_state::unknown).first == 502U);
    BOOST_TEST(status(error_kind::deadline_exceeded, run_state::unknown).first == 504U);
    BOOST_TEST(status(error_kind::unauthenticated, run_state::not_run).first == 401U);
    BOOST_TEST(status(error_kind::not_found, run_state::not_run).first == 404U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
