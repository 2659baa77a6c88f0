#pragma once

#include "coordination/billing/bill_deduplicator.hpp"
#include "coordination/billing/bill_segment.hpp"
#include "coordination/claims/claim_port.hpp"
#include "state/claim_record.hpp"
#include "state/configuration_change.hpp"
#include "state/instance_list.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace buckthorndale::tests::world {

/// An in-memory platform store with the conditional updates that the system uses.
class fake_platform {
public:
    auto create_claim(const state::claim_record& record) -> bool
    {
        const auto [place, is_new] = claims_.try_emplace(record.key_);
        if (is_new)
            place->second = {.record_ = record, .tag_ = std::to_string(++last_tag_)};
        return is_new;
    }

    auto replace_claim(const std::string& tag, const state::claim_record& record) -> bool
    {
        const auto found = claims_.find(record.key_);
        if (found == claims_.end() || found->second.tag_ != tag)
            return false;
        found->second = {.record_ = record, .tag_ = std::to_string(++last_tag_)};
        return true;
    }

    auto read_claim(const state::claim_key& key) const -> std::optional<coordination::claims::stored_claim>
    {
        const auto found = claims_.find(key);
        return found == claims_.end() ? std::nullopt : std::optional{found->second};
    }

    auto create_segment(const coordination::billing::bill_segment& segment) -> bool
    {
        const auto name = std::tuple{segment.writer_, segment.writer_incarnation_, segment.number_};
        return segments_.emplace(name, segment).second;
    }

    auto ledger() const -> coordination::billing::bill_deduplicator
    {
        auto folder = coordination::billing::bill_deduplicator{};
        for (const auto& [name, segment] : segments_) {
            for (const auto& record : segment.records_)
                folder.add(record);
        }
        return folder;
    }

    /// Appends a change if its generation follows the last one.
    auto create_change(const state::configuration_change& change) -> bool
    {
        if (change.generation_.value() != changes_.size() + 1)
            return false;
        changes_.push_back(change);
        return true;
    }

    auto changes_after(state::generation known) const -> std::vector<state::configuration_change>
    {
        if (known.value() >= changes_.size())
            return {};
        return {changes_.begin() + static_cast<std::ptrdiff_t>(known.value()), changes_.end()};
    }

    auto changes() const -> const std::vector<state::configuration_change>& { return changes_; }

    auto segments() const -> std::size_t { return segments_.size(); }

private:
    std::map<state::claim_key, coordination::claims::stored_claim> claims_;
    std::map<std::tuple<state::instance_id, state::incarnation, std::uint64_t>,
             coordination::billing::bill_segment>
        segments_;
    std::vector<state::configuration_change> changes_;
    std::uint64_t last_tag_{0};
};

} // namespace buckthorndale::tests::world
