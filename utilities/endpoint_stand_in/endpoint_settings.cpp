#include "endpoint_stand_in/endpoint_settings.hpp"

#include "protocol/settings/settings_file.hpp"

namespace buckthorndale::utilities::endpoint_stand_in {

namespace {

constexpr auto most_slots = std::int64_t{100'000};
constexpr auto longest_ms = std::int64_t{600'000};
constexpr auto most_prefixes = std::int64_t{1'000'000};
constexpr auto largest_permille = std::int64_t{1000};

auto kind_from_text(const std::string& text) -> stand_in_kind
{
    if (text == "engine")
        return stand_in_kind::engine;
    if (text == "service")
        return stand_in_kind::service;
    if (text == "rating")
        return stand_in_kind::rating;
    throw state::error{state::error_kind::invalid_settings, "'kind' is not known.",
                       "Write engine, service or rating."};
}

} // namespace

auto read_endpoint_settings(const std::string& path) -> endpoint_settings
{
    const auto file = protocol::settings::settings_file{path};
    auto reader = file.reader();
    auto settings = endpoint_settings{};
    settings.kind_ = kind_from_text(reader.text("kind"));
    settings.address_ = state::network_address_from_text(reader.text("address"));
    for (const auto& text : reader.texts("versions"))
        settings.versions_.push_back(state::version_key_from_text(text));
    settings.slots_ = static_cast<std::int32_t>(reader.integer_or("slots", 1, most_slots, settings.slots_));
    settings.first_token_ = reader.milliseconds_or("first_token_ms", 0, longest_ms, settings.first_token_);
    settings.between_tokens_ =
        reader.milliseconds_or("between_tokens_ms", 0, longest_ms, settings.between_tokens_);
    settings.cached_prefixes_ =
        static_cast<std::size_t>(reader.integer_or("cached_prefixes", 0, most_prefixes, 64));
    settings.is_fencing_ = reader.boolean_or("fencing", true);
    for (auto& child : reader.children("ratings")) {
        const auto version = state::version_key_from_text(child.text("version"));
        const auto score = child.integer("score", 0, largest_permille);
        settings.ratings_[version] = state::permille{static_cast<std::int32_t>(score)};
        child.finish();
    }
    reader.finish();
    return settings;
}

} // namespace buckthorndale::utilities::endpoint_stand_in
