#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// A small stand-in for the platform: object API, watches, instance list, and switchable faults.
namespace buckthorndale::utilities::platform_stand_in {

struct table_object {
    std::string name_;
    std::string value_;
    std::uint64_t version_{0};

    auto tag() const -> std::string
    {
        auto text = std::to_string(version_);
        text.insert(text.begin(), '"');
        text.push_back('"');
        return text;
    }
};

/// What a put did.
struct put_outcome {
    bool is_written_{false};
    bool is_new_{false};
    std::string tag_;
};

/// Objects with versions and conditional updates. The version counts all changes of the table.
class object_table {
public:
    /// Writes if the condition holds. `if_match` is a tag; `if_none_match` is true for "*".
    auto put(const std::string& name, const std::string& value, const std::string& if_match,
             bool if_none_match) -> put_outcome;

    auto find(const std::string& name) const -> std::optional<table_object>;

    auto list(const std::string& prefix, const std::string& after, std::size_t most) const
        -> std::vector<table_object>;

    auto version() const -> std::uint64_t { return version_; }

    /// The version of the newest change under the prefix.
    auto version_of(const std::string& prefix) const -> std::uint64_t;

    /// Goes back to an older copy, as a store restored from a backup does.
    auto restore(const object_table& older) -> void;

private:
    std::map<std::string, table_object> objects_;
    std::uint64_t version_{0};
};

} // namespace buckthorndale::utilities::platform_stand_in
