#pragma once

#include "platform_stand_in/instance_directory.hpp"
#include "platform_stand_in/object_table.hpp"
#include "transport/http/exchange.hpp"
#include "transport/http/types.hpp"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndale::utilities::platform_stand_in {

/// Faults that are switched on by POST /faults.
struct fault_switches {
    /// Every call is cut off unanswered.
    bool is_down_{false};
    /// Every answer is held back.
    state::duration delay_{0};
    /// So many writes from now on take effect but are cut off unanswered.
    std::int64_t lost_answers_{0};
};

/// Counted calls, as the platform bills them.
struct call_counts {
    std::uint64_t reads_{0};
    std::uint64_t writes_{0};
    std::uint64_t watches_{0};
    std::uint64_t lists_{0};
    std::uint64_t waiting_watches_{0};
};

/// Answers the platform's HTTP calls.
class platform_service {
public:
    platform_service(transport::http::asio::io_context& context, state::instance_list instances,
                     state::duration lag);

    auto handle(transport::http::exchange& exchange) -> transport::http::awaitable<void>;

private:
    auto answer(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto answer_control(transport::http::exchange& exchange, const std::string& path)
        -> transport::http::awaitable<bool>;
    auto put_object(transport::http::exchange& exchange, const std::string& name)
        -> transport::http::awaitable<void>;
    auto get_object(transport::http::exchange& exchange, const std::string& name)
        -> transport::http::awaitable<void>;
    auto list_objects(transport::http::exchange& exchange, const std::string& query)
        -> transport::http::awaitable<void>;
    auto watch(transport::http::exchange& exchange, const std::string& query)
        -> transport::http::awaitable<void>;
    auto list_instances(transport::http::exchange& exchange, const std::string& query)
        -> transport::http::awaitable<void>;
    auto switch_faults(const std::string& body) -> void;
    auto change_instance(const std::string& body) -> void;
    auto counts_text() const -> std::string;
    auto sleep(state::duration time) -> transport::http::awaitable<void>;

    transport::http::asio::io_context& context_;
    object_table table_;
    std::optional<object_table> backup_;
    instance_directory directory_;
    fault_switches faults_;
    call_counts counts_;
    /// Entries that the list holds besides, whether or not they can be read.
    std::vector<Json::Value> unchecked_endpoints_;
    std::vector<Json::Value> unchecked_members_;
};

} // namespace buckthorndale::utilities::platform_stand_in
