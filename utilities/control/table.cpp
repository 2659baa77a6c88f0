#include "control/table.hpp"

#include "protocol/json/text.hpp"

#include <algorithm>
#include <vector>

namespace buckthorndale::utilities::control {

namespace {

using row = std::vector<std::string>;

constexpr auto column_gap = std::size_t{2};
constexpr auto longest_cell = std::size_t{60};

auto cell_text(const Json::Value& value) -> std::string
{
    auto text = value.isString() ? value.asString() : protocol::json::to_text(value);
    if (text.size() > longest_cell)
        text = text.substr(0, longest_cell) + "...";
    return text;
}

auto columns_of(const Json::Value& items) -> row
{
    auto names = row{};
    for (const auto& item : items) {
        for (const auto& name : item.getMemberNames()) {
            if (std::ranges::find(names, name) == names.end())
                names.push_back(name);
        }
    }
    return names;
}

auto write_rows(const std::vector<row>& rows) -> std::string
{
    auto widths = std::vector<std::size_t>(rows.front().size());
    for (const auto& cells : rows) {
        for (auto index = std::size_t{0}; index < cells.size(); ++index)
            widths[index] = std::max(widths[index], cells[index].size());
    }
    auto text = std::string{};
    for (const auto& cells : rows) {
        auto line = std::string{};
        for (auto index = std::size_t{0}; index < cells.size(); ++index) {
            line.append(cells[index]);
            line.append(widths[index] - cells[index].size() + column_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text.append(line).append("\n");
    }
    return text;
}

auto items_table(const Json::Value& items) -> std::string
{
    if (items.empty())
        return "Nothing is there.\n";
    auto rows = std::vector<row>{columns_of(items)};
    const auto names = rows.front();
    for (const auto& item : items) {
        auto cells = row{};
        for (const auto& name : names)
            cells.push_back(cell_text(item[name]));
        rows.push_back(std::move(cells));
    }
    return write_rows(rows);
}

auto object_lines(const Json::Value& object) -> std::string
{
    auto rows = std::vector<row>{};
    for (const auto& name : object.getMemberNames())
        rows.push_back({name, cell_text(object[name])});
    return rows.empty() ? std::string{} : write_rows(rows);
}

} // namespace

auto to_table(const Json::Value& answer) -> std::string
{
    if (answer.isMember("items"))
        return items_table(answer["items"]);
    if (answer.isMember("members"))
        return items_table(answer["members"]) + "\n" + items_table(answer["endpoints"]);
    return object_lines(answer.isMember("item") ? answer["item"] : answer);
}

} // namespace buckthorndale::utilities::control
