#pragma once

#include "transport/http/caller_share.hpp"
#include "transport/http/types.hpp"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/errc.hpp>

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>

namespace buckthorndale::transport::http {

/// The body of a request that is being received, as Beast's parsers fill it in. Its memory is on account from
/// the first byte on, and grows with what arrives rather than with what is announced.
struct held_body {
    struct value_type {
        std::string bytes_;
        /// Must be set before the first byte arrives; outlives the parser.
        caller_share* share_{nullptr};
        /// What the share holds for the rest of the request, in bytes.
        std::size_t head_bytes_{0};
    };

    class reader {
    public:
        template <bool IsRequest, typename Fields>
        reader(beast::http::header<IsRequest, Fields>& /*head*/, value_type& value) : value_{value}
        {}

        auto init(const boost::optional<std::uint64_t>& length, boost::system::error_code& fault) -> void
        {
            length_ = length.value_or(0);
            fault = {};
        }

        template <typename Buffers>
        auto put(const Buffers& buffers, boost::system::error_code& fault) -> std::size_t
        {
            fault = {};
            auto size = std::size_t{0};
            for (const auto buffer : beast::buffers_range_ref(buffers)) {
                if (!reserve(value_.bytes_.size() + buffer.size())) {
                    fault = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
                    return size;
                }
                value_.bytes_.append(static_cast<const char*>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }

        auto finish(boost::system::error_code& fault) -> void { fault = {}; }

    private:
        static constexpr std::size_t min_capacity{4096};

        auto reserve(std::size_t size) -> bool
        {
            if (size <= value_.bytes_.capacity())
                return true;
            const auto capacity = capacity_for(size);
            if (!value_.share_->try_hold(held_part::message, value_.head_bytes_ + capacity))
                return false;
            value_.bytes_.reserve(capacity);
            return true;
        }

        /// Strings at least double when they grow, so the steps are such that the last one ends at a stated
        /// length.
        auto capacity_for(std::size_t size) const -> std::size_t
        {
            if (length_ < size)
                return std::bit_ceil(std::max(size, min_capacity));
            auto capacity = static_cast<std::size_t>(length_);
            while (capacity > min_capacity && (capacity + 1) / 2 >= size)
                capacity = (capacity + 1) / 2;
            return capacity;
        }

        value_type& value_;
        std::uint64_t length_{0};
    };
};

} // namespace buckthorndale::transport::http
