#include "protocol/platform/object_names.hpp"

#include "state/stable_hash.hpp"

namespace buckthorndale::protocol::platform {

namespace {

constexpr auto number_width = std::size_t{20};
/// Two hashes with different seeds give 128 bits, which makes a collision between two keys negligible.
constexpr auto second_seed = std::uint64_t{0x5eed};

auto zero_padded(std::uint64_t number) -> std::string
{
    const auto text = std::to_string(number);
    return std::string(number_width - text.size(), '0') + text;
}

} // namespace

auto change_name(state::generation number) -> std::string
{
    return change_prefix + zero_padded(number.value());
}

auto claim_name(const state::claim_key& key) -> std::string
{
    const auto text = key.workspace_.text() + '\n' + key.idempotency_key_;
    return claim_prefix + zero_padded(state::stable_hash(text)) +
           zero_padded(state::stable_hash(text, second_seed));
}

auto segment_name(const coordination::billing::bill_segment& segment) -> std::string
{
    return ledger_prefix + segment.writer_.text() + "-" + zero_padded(segment.writer_incarnation_.value()) +
           "-" + zero_padded(segment.number_);
}

} // namespace buckthorndale::protocol::platform
