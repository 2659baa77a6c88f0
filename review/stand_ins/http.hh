// A small HTTP/1.1 codec over blocking sockets, for the stand-ins of the review's scripts.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <map>
#include <string>

namespace rig {

using clock = std::chrono::steady_clock;

inline long ms_between(clock::time_point from, clock::time_point to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct message {
    std::string first_line;                     // Without the line end.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }

    std::string method() const { return first_line.substr(0, first_line.find(' ')); }

    std::string target() const
    {
        const auto from = first_line.find(' ');
        if (from == std::string::npos)
            return {};
        return first_line.substr(from + 1, first_line.find(' ', from + 1) - from - 1);
    }

    int status() const { return first_line.size() < 12 ? 0 : std::atoi(first_line.substr(9, 3).c_str()); }
};

// How a read ended.
enum class outcome { complete, closed_before, closed_within, timed_out };

class connection {
public:
    connection() = default;

    explicit connection(int fd) : fd_{fd}
    {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    connection(connection&& other) noexcept : fd_{other.fd_}, buffer_{std::move(other.buffer_)}
    {
        other.fd_ = -1;
    }

    connection& operator=(connection&& other) noexcept
    {
        close();
        fd_ = other.fd_;
        buffer_ = std::move(other.buffer_);
        other.fd_ = -1;
        return *this;
    }

    ~connection() { close(); }

    bool is_open() const { return fd_ >= 0; }

    int fd() const { return fd_; }

    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
        buffer_.clear();
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Whether the peer has closed its side, without reading anything.
    bool is_closed_by_peer() const
    {
        pollfd item{fd_, POLLIN | POLLRDHUP, 0};
        return ::poll(&item, 1, 0) > 0 && (item.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    // Reads a message. A response without a length ends with its connection.
    outcome read(message& into, int timeout_ms, bool is_response)
    {
        into = {};
        const auto until = clock::now() + std::chrono::milliseconds{timeout_ms};
        std::size_t end;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            const auto got = fill(until);
            if (got != outcome::complete)
                return got == outcome::closed_before && !buffer_.empty() ? outcome::closed_within : got;
        }
        parse_head(buffer_.substr(0, end), into);
        buffer_.erase(0, end + 4);
        if (lower(into.header("transfer-encoding")).find("chunked") != std::string::npos)
            return read_chunks(into, until);
        const auto length = into.header("content-length");
        if (length.empty() && !is_response)
            return outcome::complete;
        if (length.empty()) {
            while (true) {
                const auto got = fill(until);
                if (got == outcome::closed_before)
                    break;
                if (got != outcome::complete)
                    return got;
            }
            into.body = std::move(buffer_);
            buffer_.clear();
            return outcome::complete;
        }
        const auto wanted = static_cast<std::size_t>(std::stoull(length));
        while (buffer_.size() < wanted) {
            const auto got = fill(until);
            if (got != outcome::complete) {
                into.body = buffer_;
                return got == outcome::closed_before ? outcome::closed_within : got;
            }
        }
        into.body = buffer_.substr(0, wanted);
        buffer_.erase(0, wanted);
        return outcome::complete;
    }

private:
    outcome fill(clock::time_point until)
    {
        const auto left = ms_between(clock::now(), until);
        if (left <= 0)
            return outcome::timed_out;
        pollfd item{fd_, POLLIN, 0};
        const auto ready = ::poll(&item, 1, static_cast<int>(left));
        if (ready < 0 && errno == EINTR)
            return outcome::complete;
        if (ready <= 0)
            return outcome::timed_out;
        char bytes[65536];
        const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n == 0 || (n < 0 && errno != EINTR && errno != EAGAIN))
            return outcome::closed_before;
        if (n > 0)
            buffer_.append(bytes, static_cast<std::size_t>(n));
        return outcome::complete;
    }

    static void parse_head(const std::string& head, message& into)
    {
        std::size_t from = 0;
        bool is_first = true;
        while (from <= head.size()) {
            auto to = head.find("\r\n", from);
            if (to == std::string::npos)
                to = head.size();
            const auto line = head.substr(from, to - from);
            from = to + 2;
            if (is_first) {
                into.first_line = line;
                is_first = false;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            into.headers[lower(line.substr(0, colon))] = value;
        }
    }

    outcome read_chunks(message& into, clock::time_point until)
    {
        while (true) {
            std::size_t end;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                const auto got = fill(until);
                if (got != outcome::complete)
                    return got == outcome::closed_before ? outcome::closed_within : got;
            }
            const auto size = static_cast<std::size_t>(std::strtoull(buffer_.c_str(), nullptr, 16));
            while (buffer_.size() < end + 2 + size + 2) {
                const auto got = fill(until);
                if (got != outcome::complete)
                    return got == outcome::closed_before ? outcome::closed_within : got;
            }
            into.body.append(buffer_, end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0)
                return outcome::complete;
        }
    }

    int fd_{-1};
    std::string buffer_;
};

inline sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// Returns a listening socket, or -1.
inline int listen_on(const std::string& ip, int port)
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline connection connect_to(const std::string& ip, int port)
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = address_of(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return {};
    }
    return connection{fd};
}

} // namespace rig
