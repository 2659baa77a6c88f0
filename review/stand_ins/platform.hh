// Stand-ins of the users' platform, as PROTOCOL.md describes it: the metadata store, plain servers, and the
// processes of the system.
#pragma once

#include "http.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <atomic>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

namespace rig {

inline void sleep_ms(long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

// What was sent, answered and run, with milliseconds since the start.
class record {
public:
    explicit record(const std::string& path) : file_{std::fopen(path.c_str(), "w")} {}

    ~record() { std::fclose(file_); }

    long now() const { return ms_between(began_, clock::now()); }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock{mutex_};
        std::fprintf(file_, "%8.3f  %s\n", static_cast<double>(now()) / 1000, text);
        std::fflush(file_);
    }

private:
    clock::time_point began_{clock::now()};
    std::mutex mutex_;
    std::FILE* file_;
};

// The raw text of a field of a JSON object, empty if it is missing.
inline std::string json_field(const std::string& json, const std::string& name)
{
    int depth = 0;
    bool is_key = true;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const auto c = json[i];
        if (c == '{' || c == '[') {
            ++depth;
            is_key = true;
        } else if (c == '}' || c == ']') {
            --depth;
        } else if (c == ',') {
            is_key = true;
        } else if (c == '"') {
            auto end = i + 1;
            while (json[end] != '"')
                end += json[end] == '\\' ? 2 : 1;
            const auto text = json.substr(i + 1, end - i - 1);
            i = end;
            if (depth != 1 || !is_key || text != name) {
                is_key = false;
                continue;
            }
            auto from = json.find(':', end) + 1;
            while (std::isspace(static_cast<unsigned char>(json[from])))
                ++from;
            auto to = from;
            int inner = 0;
            bool in_text = false;
            for (; to < json.size(); ++to) {
                const auto d = json[to];
                if (in_text) {
                    if (d == '\\')
                        ++to;
                    else if (d == '"')
                        in_text = false;
                    continue;
                }
                if (d == '"')
                    in_text = true;
                else if (d == '{' || d == '[')
                    ++inner;
                else if ((d == '}' || d == ']') && inner-- == 0)
                    break;
                else if (d == ',' && inner == 0)
                    break;
            }
            auto value = json.substr(from, to - from);
            while (!value.empty() && std::isspace(static_cast<unsigned char>(value.back())))
                value.pop_back();
            return value;
        }
    }
    return {};
}

inline std::string unquoted(const std::string& text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

inline std::string response(int status, const std::string& headers, const std::string& body)
{
    const auto reason = status < 300 ? "OK" : "Error";
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and runs each in a thread of its own.
class listener {
public:
    using handler = std::function<void(connection&)>;

    listener(const std::string& ip, int port, handler handle)
        : fd_{listen_on(ip, port)}, handle_{std::move(handle)}
    {
        if (fd_ < 0) {
            std::fprintf(stderr, "port %d of %s is in use\n", port, ip.c_str());
            std::exit(2);
        }
        std::thread{[this] { accept(); }}.detach();
    }

    // From now on connections are refused, and the open ones are closed.
    void stop()
    {
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        const std::lock_guard lock{mutex_};
        for (const auto peer : peers_)
            ::shutdown(peer, SHUT_RDWR);
    }

private:
    void accept()
    {
        while (true) {
            const auto fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0 && errno == EINTR)
                continue;
            if (fd < 0)
                return;
            std::thread{[this, fd] {
                {
                    const std::lock_guard lock{mutex_};
                    peers_.insert(fd);
                }
                auto peer = connection{fd};
                handle_(peer);
                const std::lock_guard lock{mutex_};
                peers_.erase(fd);
                peer.close();
            }}.detach();
        }
    }

    int fd_;
    handler handle_;
    std::mutex mutex_;
    std::set<int> peers_;
};

// The metadata store. Holds each object's spec and status as the text that its writer sent.
class store {
public:
    store(const std::string& ip, int port) : listener_{ip, port, [this](connection& peer) { serve(peer); }} {}

    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock{mutex_};
        put_locked(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock{mutex_};
        remove_locked(kind, name);
    }

    // Ends the calls that are waiting for changes, without an answer.
    void cut_watches() { ++cuts_; }

private:
    struct object {
        std::string name;
        std::string spec{"null"};
        std::string status{"null"};
        unsigned long revision{0};
        unsigned long created{0};

        std::string text() const
        {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision) +
                   ",\"created\":" + std::to_string(created) +
                   ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":" + status + "}";
        }
    };

    struct event {
        unsigned long revision;
        std::string kind;
        std::string text;
    };

    void put_locked(const std::string& kind, const std::string& name, const std::string& spec)
    {
        auto& item = objects_[kind][name];
        if (item.spec == spec)
            return;
        item.name = name;
        item.spec = spec;
        item.revision = ++revision_;
        if (item.created == 0)
            item.created = revision_;
        events_.push_back({revision_, kind, "{\"object\":" + item.text() + ",\"removed\":false}"});
    }

    bool remove_locked(const std::string& kind, const std::string& name)
    {
        auto& objects = objects_[kind];
        const auto found = objects.find(name);
        if (found == objects.end())
            return false;
        ++revision_;
        events_.push_back({revision_, kind, "{\"object\":" + found->second.text() + ",\"removed\":true}"});
        objects.erase(found);
        return true;
    }

    static std::string query(const std::string& target, const std::string& name)
    {
        const auto mark = target.find('?');
        if (mark == std::string::npos)
            return {};
        auto stream = std::istringstream{target.substr(mark + 1)};
        std::string part;
        while (std::getline(stream, part, '&')) {
            if (part.compare(0, name.size() + 1, name + "=") == 0)
                return part.substr(name.size() + 1);
        }
        return {};
    }

    bool answer(connection& peer, int status, const std::string& body)
    {
        return peer.send(response(status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body));
    }

    void serve(connection& peer)
    {
        message call;
        while (peer.read(call, 120'000, false) == outcome::complete) {
            const auto target = call.target();
            const auto path = target.substr(0, target.find('?'));
            auto stream = std::istringstream{path};
            std::string part;
            std::vector<std::string> parts;
            while (std::getline(stream, part, '/')) {
                if (!part.empty())
                    parts.push_back(part);
            }
            parts.resize(4);
            const auto is_read = call.method() == "GET";
            const auto is_sent = is_read ? read(peer, target, parts[1], parts[2])
                                         : write(peer, call, parts[1], parts[2], parts[3] == "status");
            if (!is_sent)
                return;
        }
    }

    bool read(connection& peer, const std::string& target, const std::string& kind, const std::string& name)
    {
        if (!name.empty()) {
            std::string text;
            {
                const std::lock_guard lock{mutex_};
                const auto found = objects_[kind].find(name);
                if (found != objects_[kind].end())
                    text = found->second.text();
            }
            return text.empty() ? answer(peer, 404, "{}") : answer(peer, 200, text);
        }
        const auto watch = query(target, "watch");
        if (!watch.empty())
            return wait_for_changes(peer, kind, std::stoul(watch),
                                    std::atol(query(target, "waitMs").c_str()));
        std::string items;
        unsigned long revision;
        {
            const std::lock_guard lock{mutex_};
            for (const auto& [key, item] : objects_[kind])
                items += (items.empty() ? "" : ",") + item.text();
            revision = revision_;
        }
        return answer(peer, 200,
                      "{\"items\":[" + items +
                          "],\"hasMore\":false,\"currentRev\":" + std::to_string(revision) + "}");
    }

    bool wait_for_changes(connection& peer, const std::string& kind, unsigned long after, long wait_ms)
    {
        const auto until = clock::now() + std::chrono::milliseconds{wait_ms};
        const auto cuts = cuts_.load();
        while (true) {
            std::string found;
            unsigned long revision;
            {
                const std::lock_guard lock{mutex_};
                for (const auto& item : events_) {
                    if (item.revision > after && item.kind == kind)
                        found += (found.empty() ? "" : ",") + item.text;
                }
                revision = revision_;
            }
            if (!found.empty() || clock::now() >= until)
                return answer(peer, 200,
                              "{\"events\":[" + found + "],\"currentRev\":" + std::to_string(revision) + "}");
            sleep_ms(4);
            if (cuts_ != cuts || peer.is_closed_by_peer())
                return false;
        }
    }

    bool write(connection& peer, const message& call, const std::string& kind, std::string name,
               bool is_status)
    {
        int status = 200;
        std::string text = "{}";
        {
            const std::lock_guard lock{mutex_};
            const auto metadata = json_field(call.body, "metadata");
            if (call.method() == "POST")
                name = unquoted(json_field(metadata, "name"));
            auto& objects = objects_[kind];
            const auto found = objects.find(name);
            const auto condition = metadata.empty() ? std::string{} : json_field(metadata, "revision");
            if (call.method() == "DELETE") {
                status = remove_locked(kind, name) ? 200 : 404;
            } else if (call.method() == "POST") {
                if (found != objects.end())
                    status = 409;
                else
                    put_locked(kind, name, json_field(call.body, "spec"));
            } else if (found == objects.end()) {
                status = 404;
            } else if (!condition.empty() && std::stoul(condition) != found->second.revision) {
                status = 409;
            } else if (!is_status) {
                put_locked(kind, name, json_field(call.body, "spec"));
            } else if (const auto value = json_field(call.body, "status"); value != found->second.status) {
                found->second.status = value;
                found->second.revision = ++revision_;
                events_.push_back(
                    {revision_, kind, "{\"object\":" + found->second.text() + ",\"removed\":false}"});
            }
            const auto now = objects.find(name);
            if (now != objects.end())
                text = now->second.text();
        }
        return answer(peer, status, text);
    }

    std::mutex mutex_;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::vector<event> events_;
    unsigned long revision_{100};
    std::atomic<int> cuts_{0};
    listener listener_;
};

// What a server does with a request that it runs.
struct run_result {
    int status{200};
    std::string headers;
    std::string body;
};

// A server of a plain service. Runs requests for a while and remembers which.
class server {
public:
    using decide = std::function<run_result(const message& request, const std::string& attempt)>;

    server(std::string name, std::string ip, int port, record& log)
        : name_{std::move(name)}, ip_{std::move(ip)}, port_{port}, log_{log}
    {
        start();
    }

    void start()
    {
        listener_ = std::make_unique<listener>(ip_, port_, [this](connection& peer) { serve(peer); });
    }

    // The process ends: what it runs is lost, and connections to it are refused.
    void crash()
    {
        has_crashed_ = true;
        listener_->stop();
        log_.line("server    %s crashes", name_.c_str());
    }

    std::string spec(const std::string& service, const std::string& zone) const
    {
        return "{\"service\":\"" + service + "\",\"address\":\"" + ip_ + ":" + std::to_string(port_) +
               "\",\"zone\":\"" + zone +
               "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0," +
               "\"sequence\":0,\"born\":1764900000000}";
    }

    // Replaces how runs end; work_ms is the time that each takes.
    void set_runs(decide how, long work_ms)
    {
        const std::lock_guard lock{mutex_};
        how_ = std::move(how);
        work_ms_ = work_ms;
    }

    // Called when a run begins; it may end the server.
    void set_begin(std::function<void(const message&, const std::string&)> begin)
    {
        const std::lock_guard lock{mutex_};
        begin_ = std::move(begin);
    }

    // Makes this a model engine: requests that name another model get 421, the others a stream of events.
    void set_models(std::set<std::string> models)
    {
        const std::lock_guard lock{mutex_};
        models_ = std::move(models);
    }

    // How often the attempt began to run here.
    int runs_of(const std::string& attempt)
    {
        const std::lock_guard lock{mutex_};
        const auto found = runs_.find(attempt);
        return found == runs_.end() ? 0 : found->second;
    }

    // The requests that arrived from then on, as (milliseconds, attempt).
    std::vector<std::pair<long, std::string>> arrivals()
    {
        const std::lock_guard lock{mutex_};
        return arrivals_;
    }

    const std::string& name() const { return name_; }

private:
    void serve(connection& peer)
    {
        message request;
        while (peer.read(request, 60'000, false) == outcome::complete) {
            const auto attempt = request.header("x-attempt-id");
            const auto common =
                "X-Attempt-Id: " + attempt + "\r\nX-Response-Stamp: " + name_ + "." + attempt + "\r\n";
            if (request.target() == "/health") {
                if (!peer.send(response(200, "X-Instance-Id: " + name_ + "\r\n", "")))
                    return;
                continue;
            }
            if (attempt.empty()) {
                if (!peer.send(response(400, "X-Not-Run: 1\r\n", "")))
                    return;
                continue;
            }
            const auto expected = request.header("x-expect-instance");
            if (!expected.empty() && expected != name_) {
                if (!peer.send(response(421, common + "X-Not-Run: 1\r\n", "")))
                    return;
                continue;
            }
            if (!knows_model_of(request)) {
                log_.line("not run   %s at %s, model %s is not known", attempt.c_str(), name_.c_str(),
                          request.header("x-model").c_str());
                if (!peer.send(
                        response(421, common + "X-Not-Run: 1\r\nX-Instance-Id: " + name_ + "\r\n", "")))
                    return;
                continue;
            }
            decide how;
            std::function<void(const message&, const std::string&)> begin;
            long work;
            {
                const std::lock_guard lock{mutex_};
                ++runs_[attempt];
                arrivals_.emplace_back(log_.now(), attempt);
                how = how_;
                begin = begin_;
                work = work_ms_;
            }
            log_.line("run       %s at %s, body of %zu bytes", attempt.c_str(), name_.c_str(),
                      request.body.size());
            if (begin)
                begin(request, attempt);
            sleep_ms(work);
            if (has_crashed_)
                return;
            if (!request.header("x-token-counts").empty()) {
                if (!stream(peer, request, common))
                    return;
                log_.line("ran       %s at %s", attempt.c_str(), name_.c_str());
                continue;
            }
            auto result = how ? how(request, attempt) : run_result{};
            if (result.body.empty())
                result.body = "{\"attempt\":\"" + attempt + "\",\"server\":\"" + name_ + "\"}";
            log_.line("ran       %s at %s, answers %d", attempt.c_str(), name_.c_str(), result.status);
            if (!peer.send(response(result.status, common + result.headers, result.body)))
                return;
        }
    }

    bool knows_model_of(const message& request)
    {
        const std::lock_guard lock{mutex_};
        return models_.empty() || models_.count(request.header("x-model")) > 0;
    }

    static bool stream(connection& peer, const message& request, const std::string& common)
    {
        if (!peer.send("HTTP/1.1 200 OK\r\n" + common +
                       "Content-Type: text/event-stream\r\nX-Confidence: 90\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        const auto resumed = request.header("last-event-id");
        for (auto number = std::atoi(resumed.c_str()) + 1; number <= 8; ++number) {
            const auto text = std::to_string(number);
            const auto event = "id: " + text + "\ndata: part " + text + "\n\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!peer.send(size + event + "\r\n"))
                return false;
            sleep_ms(30);
        }
        return peer.send("0\r\n\r\n");
    }

    std::string name_;
    std::string ip_;
    int port_;
    record& log_;
    std::atomic<bool> has_crashed_{false};
    std::mutex mutex_;
    decide how_;
    std::function<void(const message&, const std::string&)> begin_;
    long work_ms_{60};
    std::set<std::string> models_;
    std::map<std::string, int> runs_;
    std::vector<std::pair<long, std::string>> arrivals_;
    std::unique_ptr<listener> listener_;
};

// The processes of the system, each on a loopback address of its own and with the same ports.
class fleet {
public:
    fleet(std::string program, std::string folder, int first_port, int count, record& log)
        : program_{std::move(program)}, folder_{std::move(folder)}, first_port_{first_port}, log_{log}
    {
        pids_.resize(static_cast<std::size_t>(count), -1);
        for (int i = 0; i < count; ++i)
            write_settings(i);
    }

    ~fleet()
    {
        for (std::size_t i = 0; i < pids_.size(); ++i)
            kill(static_cast<int>(i));
    }

    static std::string ip(int index) { return "127.0.1." + std::to_string(index + 1); }

    std::string store_ip() const { return "127.0.2.1"; }

    int store_port() const { return first_port_; }

    int front_port() const { return first_port_ + 1; }

    int size() const { return static_cast<int>(pids_.size()); }

    int pid(int index) const { return pids_[static_cast<std::size_t>(index)]; }

    void start(int index)
    {
        const auto settings = folder_ + "/front-" + std::to_string(index + 1) + ".json";
        const auto output = folder_ + "/front-" + std::to_string(index + 1) + ".log";
        const auto parent = ::getpid();
        const auto pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(1);
            const auto fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(program_.c_str(), program_.c_str(), "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
        pids_[static_cast<std::size_t>(index)] = pid;
        log_.line("process   front-%d starts", index + 1);
    }

    // SIGKILL, and waits for the end.
    void kill(int index)
    {
        auto& pid = pids_[static_cast<std::size_t>(index)];
        if (pid <= 0)
            return;
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        pid = -1;
        log_.line("process   front-%d was killed", index + 1);
    }

    // Whether the process has ended by itself.
    bool has_ended(int index)
    {
        auto& pid = pids_[static_cast<std::size_t>(index)];
        if (pid <= 0 || ::waitpid(pid, nullptr, WNOHANG) != pid)
            return false;
        pid = -1;
        return true;
    }

    bool is_ready(int index) const
    {
        auto peer = connect_to(ip(index), first_port_ + 2);
        message answer;
        return peer.is_open() &&
               peer.send("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n") &&
               peer.read(answer, 1000, true) == outcome::complete && answer.status() == 200;
    }

    bool wait_until_ready(long timeout_ms) const
    {
        const auto until = clock::now() + std::chrono::milliseconds{timeout_ms};
        while (clock::now() < until) {
            bool are_ready = true;
            for (int i = 0; i < size(); ++i)
                are_ready = are_ready && is_ready(i);
            if (are_ready)
                return true;
            sleep_ms(100);
        }
        return false;
    }

private:
    // What the platform makes of deploy/front.json.in, with the figures of the sheet of kogarashi-fit.
    void write_settings(int index) const
    {
        const auto name = "front-" + std::to_string(index + 1);
        auto file = std::ofstream{folder_ + "/" + name + ".json"};
        const auto address = [&](int port) { return "\"" + ip(index) + ":" + std::to_string(port) + "\""; };
        file << "{ \"instance\": \"" << name << "\", \"data_centre\": \"kurume-a\",\n"
             << "  \"callers\": " << address(first_port_ + 1) << ", \"probes\": " << address(first_port_ + 2)
             << ", \"control\": " << address(first_port_ + 3) << ",\n"
             << "  \"first_peer_port\": " << first_port_ + 4 << ", \"seeds\": [\"" << ip(0) << ":"
             << first_port_ + 3 << "\"],\n  \"store\": \"" << store_ip() << ":" << first_port_
             << "\", \"link_mbps\": 1000.0,\n"
             << "  \"stop_limit_s\": 8, \"session_lifetime_s\": 5, \"configuration_delay_ms\": 2000,\n"
             << "  \"endpoints_delay_ms\": 2000, \"roll_outs_delay_ms\": 5000, \"log\": { \"level\": "
                "\"info\" } }\n";
    }

    std::string program_;
    std::string folder_;
    int first_port_;
    record& log_;
    std::vector<pid_t> pids_;
};

// The configuration of a small deployment: one route that must not be repeated, and one that may be.
inline std::string configuration(int version)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":["
           "{\"name\":\"hold\",\"host\":\"desk.example\",\"pathPrefix\":\"/hold/"
           "\",\"kind\":\"non_idempotent\","
           "\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":1}"
           ","
           "{\"name\":\"peek\",\"host\":\"desk.example\",\"pathPrefix\":\"/peek/\",\"kind\":\"safe\","
           "\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2}"
           "],"
           "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\"}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000},"
           "\"tenants\":[{\"name\":\"harbour\",\"apiKeys\":[\"harbour-key\"]}]}";
}

// How a client's attempt ended; status 0 is a connection that closed, -1 a deadline that passed.
struct reply {
    int status{0};
    bool was_sent{false};
    message answer;
};

class client {
public:
    client(std::string ip, int port, record& log) : ip_{std::move(ip)}, port_{port}, log_{log} {}

    // Sends a request over the kept connection and waits for its answer.
    // With a rate, the body is sent at so many bytes in a millisecond.
    reply ask(const std::string& method, const std::string& path, const std::string& attempt,
              const std::string& body, long deadline_ms, std::size_t rate = 0,
              const std::string& key = "harbour-key", const std::string& headers = "")
    {
        reply result;
        if (!peer_.is_open())
            peer_ = connect_to(ip_, port_);
        if (!peer_.is_open()) {
            log_.line("answer    %s no connection to %s", attempt.c_str(), ip_.c_str());
            return result;
        }
        const auto text =
            method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt +
            "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer " + key +
            "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        log_.line("send      %s %s to %s, body of %zu bytes", attempt.c_str(), path.c_str(), ip_.c_str(),
                  body.size());
        result.was_sent = peer_.send(text) && send_body(body, rate);
        const auto end = result.was_sent ? peer_.read(result.answer, static_cast<int>(deadline_ms), true)
                                         : outcome::closed_before;
        if (end == outcome::complete)
            result.status = result.answer.status();
        else if (end == outcome::timed_out)
            result.status = -1;
        log_.line("answer    %s %d%s%s", attempt.c_str(), result.status,
                  result.answer.header("x-response-stamp").empty() ? "" : " stamp ",
                  result.answer.header("x-response-stamp").c_str());
        if (end != outcome::complete || lower(result.answer.header("connection")) == "close")
            peer_.close();
        return result;
    }

private:
    bool send_body(const std::string& body, std::size_t rate)
    {
        const auto began = clock::now();
        const auto slice = rate == 0 ? body.size() : rate * 5;
        for (std::size_t sent = 0; sent < body.size(); sent += slice) {
            if (rate > 0)
                std::this_thread::sleep_until(began + std::chrono::milliseconds{sent / rate});
            if (!peer_.send(body.substr(sent, slice)))
                return false;
        }
        return true;
    }

    std::string ip_;
    int port_;
    record& log_;
    connection peer_;
};

// The first of six ports that are free on the addresses in use.
inline int free_ports()
{
    std::srand(static_cast<unsigned>(::getpid()) ^
               static_cast<unsigned>(clock::now().time_since_epoch().count()));
    for (int tries = 0; tries < 200; ++tries) {
        const int first = 21000 + std::rand() % 900 * 10;
        bool are_free = true;
        for (const auto* ip : {"127.0.1.1", "127.0.2.1", "127.0.3.1", "127.0.5.1"}) {
            for (int i = 0; i < 6 && are_free; ++i) {
                const auto fd = listen_on(ip, first + i);
                are_free = fd >= 0;
                if (fd >= 0)
                    ::close(fd);
            }
        }
        if (are_free)
            return first;
    }
    return -1;
}

} // namespace rig
