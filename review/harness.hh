// Small stand-ins for the scripts of this folder: the platform's store and its API, replicas, clients, and a starter of
// daemons with the command and the settings of the deploy files. Plain sockets and threads, one header, no library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;

inline const steady::time_point& start_time() {
    static const steady::time_point start = steady::now();
    return start;
}

/// Milliseconds since the start of the script.
inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - start_time()).count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t length) {
    std::this_thread::sleep_for(std::chrono::milliseconds(length));
}

/// Sleeps until a time on the script's clock.
inline void sleep_until_ms(std::int64_t moment) {
    sleep_ms(std::max<std::int64_t>(0, moment - now_ms()));
}

/// Ends the script with "could not run".
[[noreturn]] inline void give_up(const std::string& why);

/// The processes that the script has started and that still run.
struct child_list {
    std::mutex mutex;
    std::set<pid_t> processes;
    void add(pid_t process) {
        const std::scoped_lock lock(mutex);
        processes.insert(process);
    }
    void remove(pid_t process) {
        const std::scoped_lock lock(mutex);
        processes.erase(process);
    }
};

inline child_list& the_children() {
    static child_list children;
    return children;
}

/// Ends all processes that the script has started.
inline void end_children() {
    const std::scoped_lock lock(the_children().mutex);
    for (const pid_t process : the_children().processes) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    the_children().processes.clear();
}

/// What was sent, answered and run, one line each.
class record_file {
public:
    explicit record_file(const std::string& path) : m_file(path, std::ios::trunc) {}
    void line(const std::string& text) {
        const std::scoped_lock lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(now_ms()) / 1000);
        m_file << time << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline record_file*& the_record() {
    static record_file* file = nullptr;
    return file;
}

inline void record(const std::string& text) {
    the_record()->line(text);
}

/// Records and prints.
inline void say(const std::string& text) {
    record(text);
    std::printf("%8.3f %s\n", static_cast<double>(now_ms()) / 1000, text.c_str());
    std::fflush(stdout);
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP over plain sockets

struct message {
    /// Request: method, target. Response: status in `status`.
    std::string method;
    std::string target;
    int status{0};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string& name) const {
        const std::size_t mark = target.find('?');
        if (mark == std::string::npos) {
            return {};
        }
        std::stringstream parts(target.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.compare(0, name.size() + 1, name + "=") == 0) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }
};

/// One TCP connection. `shutdown_now` and `reset` may be called from another thread.
class connection {
public:
    explicit connection(int socket) : m_socket(socket) {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() {
        const std::scoped_lock lock(m_mutex);
        if (m_socket >= 0) {
            ::close(m_socket);
        }
    }

    bool write(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads more bytes. Returns false at the end, on an error and after the deadline (which `timed_out` shows).
    bool fill(std::int64_t deadline) {
        pollfd waiting{.fd = m_socket, .events = POLLIN, .revents = 0};
        const std::int64_t left = deadline - now_ms();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            timed_out = true;
            return false;
        }
        char piece[16384];
        const ssize_t count = ::recv(m_socket, piece, sizeof piece, 0);
        if (count <= 0) {
            was_reset = count < 0;
            return false;
        }
        buffer.append(piece, static_cast<std::size_t>(count));
        return true;
    }

    bool read_line(std::string& line, std::int64_t deadline) {
        for (;;) {
            const std::size_t end = buffer.find("\r\n");
            if (end != std::string::npos) {
                line = buffer.substr(0, end);
                buffer.erase(0, end + 2);
                return true;
            }
            if (!fill(deadline)) {
                return false;
            }
        }
    }

    bool read_bytes(std::string& to, std::size_t count, std::int64_t deadline) {
        while (buffer.size() < count) {
            if (!fill(deadline)) {
                return false;
            }
        }
        to += buffer.substr(0, count);
        buffer.erase(0, count);
        return true;
    }

    /// Reads a request or a response with its whole body. `is_head_read` becomes true when its head was read. The response
    /// to HEAD has no body, whatever its head says.
    bool read_message(message& read, bool is_request, std::int64_t deadline, bool is_response_to_head = false) {
        std::string line;
        read = {};
        is_head_read = false;
        if (!read_line(line, deadline)) {
            return false;
        }
        std::stringstream first(line);
        std::string word;
        if (is_request) {
            first >> read.method >> read.target;
        } else {
            first >> word >> read.status;
        }
        while (read_line(line, deadline) && !line.empty()) {
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                return false;
            }
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            read.headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
        if (!line.empty()) {
            return false;
        }
        is_head_read = true;
        if (is_response_to_head) {
            return true;
        }
        if (strcasecmp(read.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            for (;;) {
                if (!read_line(line, deadline)) {
                    return false;
                }
                const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
                if (size > 0 && !read_bytes(read.body, size, deadline)) {
                    return false;
                }
                if (!read_line(line, deadline)) {
                    return false;
                }
                if (size == 0) {
                    return true;
                }
            }
        }
        const std::string length = read.header("Content-Length");
        return length.empty() || read_bytes(read.body, std::strtoul(length.c_str(), nullptr, 10), deadline);
    }

    /// Whether the peer has closed or reset the connection. Takes nothing of the input.
    bool has_ended() {
        char byte = 0;
        const ssize_t count = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void shutdown_now() {
        const std::scoped_lock lock(m_mutex);
        ::shutdown(m_socket, SHUT_RDWR);
    }
    /// Makes the end of the connection a reset.
    void reset() {
        const std::scoped_lock lock(m_mutex);
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        m_is_reset = true;
        ::shutdown(m_socket, SHUT_RD);
    }
    bool is_reset() const { return m_is_reset; }

    std::string buffer;
    bool is_head_read{false};
    bool timed_out{false};
    bool was_reset{false};

private:
    std::mutex m_mutex;
    int m_socket;
    std::atomic<bool> m_is_reset{false};
};

inline std::string encode_response(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                                   const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct address {
    std::string ip;
    int port{0};
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_socket_address(const address& place) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(place.port));
    inet_pton(AF_INET, place.ip.c_str(), &result.sin_addr);
    return result;
}

/// Whether nothing uses a port now. Ports are taken below the ephemeral range.
inline bool is_free(const address& place, int type) {
    const int probe = ::socket(AF_INET, type, 0);
    const sockaddr_in name = to_socket_address(place);
    const bool is_bound = ::bind(probe, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
    ::close(probe);
    return is_bound;
}

inline address find_address(const std::string& ip) {
    static std::atomic<int> next{10000 + (getpid() * 61) % 15000};
    for (int tries = 0; tries < 20000; ++tries) {
        const address place{ip, 10000 + next++ % 20000};
        if (is_free(place, SOCK_STREAM) && is_free(place, SOCK_DGRAM)) {
            return place;
        }
    }
    give_up("no free port");
}

/// An HTTP server with a thread for each connection. The handler writes the response and returns whether the connection
/// stays open.
class http_server {
public:
    using handler = std::function<bool(const message&, connection&)>;

    http_server(address place, handler handle) : m_place(std::move(place)), m_handle(std::move(handle)) { start(); }
    ~http_server() { stop(); }

    void start() {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in name = to_socket_address(m_place);
        if (::bind(m_socket, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 || ::listen(m_socket, 512) != 0) {
            give_up("cannot listen on " + m_place.text());
        }
        m_is_open = true;
        m_acceptor = std::thread([this] { accept_all(); });
    }

    /// Closes the listener and resets all connections, like a process that ends.
    void stop() {
        if (!m_is_open.exchange(false)) {
            return;
        }
        ::shutdown(m_socket, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_socket);
        std::vector<std::thread> threads;
        {
            const std::scoped_lock lock(m_mutex);
            for (const auto& open : m_connections) {
                open->reset();
            }
            threads.swap(m_threads);
        }
        for (std::thread& thread : threads) {
            thread.detach();
        }
    }

    const address& place() const { return m_place; }
    bool is_open() const { return m_is_open; }

private:
    void accept_all() {
        while (m_is_open) {
            const int accepted = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            auto opened = std::make_shared<connection>(accepted);
            const std::scoped_lock lock(m_mutex);
            m_connections.insert(opened);
            m_threads.emplace_back([this, opened] { serve(opened); });
        }
    }

    void serve(const std::shared_ptr<connection>& opened) {
        message request;
        constexpr std::int64_t idle_ms = 200000;
        while (opened->read_message(request, true, now_ms() + idle_ms) && !opened->is_reset()) {
            if (!m_handle(request, *opened)) {
                break;
            }
        }
        if (!opened->is_reset()) {
            opened->shutdown_now();
        }
        const std::scoped_lock lock(m_mutex);
        m_connections.erase(opened);
    }

    address m_place;
    handler m_handle;
    int m_socket{-1};
    std::atomic<bool> m_is_open{false};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_connections;
    std::vector<std::thread> m_threads;
};

/// Opens a connection, or returns null.
inline std::shared_ptr<connection> dial(const address& place, std::int64_t limit_ms = 1000) {
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in name = to_socket_address(place);
    fcntl(opened, F_SETFL, O_NONBLOCK);
    ::connect(opened, reinterpret_cast<const sockaddr*>(&name), sizeof name);
    pollfd waiting{.fd = opened, .events = POLLOUT, .revents = 0};
    int fault = 0;
    socklen_t size = sizeof fault;
    const bool is_done = ::poll(&waiting, 1, static_cast<int>(limit_ms)) == 1 &&
                         getsockopt(opened, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 && fault == 0;
    if (!is_done) {
        ::close(opened);
        return nullptr;
    }
    fcntl(opened, F_SETFL, 0);
    return std::make_shared<connection>(opened);
}

/// What a client got.
struct outcome {
    enum kind { answered, closed, timed_out, not_connected } how{not_connected};
    message answer;
    /// The connection ended within the answer.
    bool is_partial{false};
};

inline std::string describe(const outcome& got) {
    switch (got.how) {
    case outcome::answered:
        return std::to_string(got.answer.status);
    case outcome::closed:
        return got.is_partial ? "closed within the answer" : "closed without an answer";
    case outcome::timed_out:
        return "no answer";
    case outcome::not_connected:
        break;
    }
    return "not connected";
}

struct client_request {
    std::string method{"POST"};
    std::string target;
    std::string host{"review.example"};
    std::string id;
    std::string key;
    std::int64_t deadline_ms{1000};
    std::string body{"{}"};
    std::vector<std::pair<std::string, std::string>> headers;
};

inline std::string encode_request(const client_request& request) {
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host +
                       "\r\nDragonflywell-Attempt-Id: " + request.id +
                       "\r\nDragonflywell-Deadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
    if (!request.key.empty()) {
        text += "Api-Key: " + request.key + "\r\n";
    }
    for (const auto& [name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (request.method == "GET" || request.method == "HEAD") {
        return text + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

inline std::string make_id() {
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::scoped_lock lock(mutex);
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

/// Sends a request on a connection and waits for the answer until the client's deadline.
inline outcome exchange(connection& opened, const client_request& request) {
    outcome got;
    const std::int64_t deadline = now_ms() + request.deadline_ms + 600;
    if (!opened.write(encode_request(request))) {
        got.how = outcome::closed;
        return got;
    }
    if (opened.read_message(got.answer, false, deadline, request.method == "HEAD")) {
        got.how = outcome::answered;
        return got;
    }
    got.how = opened.timed_out ? outcome::timed_out : outcome::closed;
    got.is_partial = opened.is_head_read || !opened.buffer.empty();
    return got;
}

inline outcome call(const address& place, const client_request& request) {
    const std::shared_ptr<connection> opened = dial(place);
    return opened == nullptr ? outcome{} : exchange(*opened, request);
}

// ---------------------------------------------------------------------------------------------------------------------
// The platform's store

inline std::string base64(const std::string& bytes) {
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t part = 0; part < 3; ++part) {
            group = (group << 8) | (index + part < bytes.size() ? static_cast<unsigned char>(bytes[index + part]) : 0U);
        }
        for (std::size_t part = 0; part < 4; ++part) {
            text += index + part <= bytes.size() ? letters[(group >> (18 - 6 * part)) & 63U] : '=';
        }
    }
    return text;
}

inline std::string quote(const std::string& text) {
    std::string quoted = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        quoted += character;
    }
    return quoted + "\"";
}

inline std::string big_endian(std::uint64_t number, int bytes) {
    std::string text;
    for (int index = bytes; index-- > 0;) {
        text += static_cast<char>((number >> (8 * index)) & 0xffU);
    }
    return text;
}

class store {
public:
    explicit store(const address& place)
        : m_server(place, [this](const message& request, connection& caller) { return handle(request, caller); }) {}

    /// Appends a record of another writer, such as the operator or a replica. Without a value, the key is dropped.
    std::uint64_t put(const std::string& topic, const std::string& key, const std::string& value) {
        const std::scoped_lock lock(m_mutex);
        m_topics[topic].push_back(std::string(1, static_cast<char>(key.size())) + key + value);
        m_changed.notify_all();
        return m_topics[topic].size();
    }

    const address& place() const { return m_server.place(); }

private:
    bool handle(const message& request, connection& caller) {
        sleep_ms(4);
        const std::string topic = request.query("topic");
        if (request.path() == "/-/log-append") {
            return append(request, topic, caller);
        }
        if (request.path() == "/-/log-read") {
            return read(request, topic, caller);
        }
        if (request.path() == "/-/log-newest") {
            return list(request, topic, caller);
        }
        return caller.write(encode_response(404, {}, ""));
    }

    bool append(const message& request, const std::string& topic, connection& caller) {
        std::string text;
        int status = 200;
        {
            const std::scoped_lock lock(m_mutex);
            std::vector<std::string>& log = m_topics[topic];
            const std::string at = request.query("at");
            if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != log.size()) {
                status = 412;
                text = "{\"endOffset\":" + std::to_string(log.size()) + "}";
            } else {
                const std::size_t first = log.size();
                for (std::size_t position = 0; position + 4 <= request.body.size();) {
                    std::uint32_t length = 0;
                    for (int index = 0; index < 4; ++index) {
                        length = (length << 8) | static_cast<unsigned char>(request.body[position + index]);
                    }
                    log.push_back(request.body.substr(position + 4, length));
                    position += 4 + length;
                }
                text = "{\"offset\":" + std::to_string(first) + ",\"endOffset\":" + std::to_string(log.size()) + "}";
                m_changed.notify_all();
            }
        }
        return caller.write(encode_response(status, {{"Content-Type", "application/json"}}, text));
    }

    bool read(const message& request, const std::string& topic, connection& caller) {
        const std::uint64_t from = std::strtoull(request.query("from").c_str(), nullptr, 10);
        const std::int64_t wait_ms = std::strtoll(request.query("waitMs").c_str(), nullptr, 10);
        std::string body;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                               [&] { return m_topics[topic].size() > from; });
            const std::vector<std::string>& log = m_topics[topic];
            body = big_endian(log.size(), 8) + big_endian(0, 8);
            for (std::uint64_t offset = from; offset < log.size(); ++offset) {
                body += big_endian(log[offset].size(), 4) + log[offset];
            }
        }
        return caller.write(encode_response(200, {}, body));
    }

    bool list(const message& request, const std::string& topic, connection& caller) {
        (void)request;
        std::string items;
        std::size_t end = 0;
        {
            const std::scoped_lock lock(m_mutex);
            const std::vector<std::string>& log = m_topics[topic];
            end = log.size();
            std::map<std::string, std::uint64_t> newest;
            for (std::uint64_t offset = 0; offset < log.size(); ++offset) {
                newest[get_key(log[offset])] = offset;
            }
            for (const auto& [key, offset] : newest) {
                const std::string value = log[offset].substr(1 + key.size());
                if (!value.empty()) {
                    items += std::string(items.empty() ? "" : ",") + "{\"key\":" + quote(key) + ",\"value\":\"" +
                             base64(value) + "\",\"offset\":" + std::to_string(offset) + "}";
                }
            }
        }
        const std::string body = "{\"items\":[" + items + "],\"more\":false,\"endOffset\":" + std::to_string(end) + "}";
        return caller.write(encode_response(200, {{"Content-Type", "application/json"}}, body));
    }

    static std::string get_key(const std::string& content) {
        return content.substr(1, static_cast<unsigned char>(content[0]));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::string>> m_topics;
    http_server m_server;
};

/// The platform's API: takes usage reports and orders of replicas, and refuses a fencing token lower than one seen.
class platform_api {
public:
    explicit platform_api(const address& place)
        : m_server(place, [this](const message& request, connection& caller) { return handle(request, caller); }) {}
    const address& place() const { return m_server.place(); }

private:
    bool handle(const message& request, connection& caller) {
        const std::uint64_t fence = std::strtoull(request.header("Dragonflywell-Fence-Token").c_str(), nullptr, 10);
        bool is_stale = false;
        {
            const std::scoped_lock lock(m_mutex);
            std::uint64_t& newest = m_newest[request.path()];
            is_stale = fence < newest;
            newest = std::max(newest, fence);
        }
        record("platform: " + request.path() + " of " + request.header("Dragonflywell-Duty-Holder") + " with " +
               std::to_string(fence) + " " + request.body);
        return caller.write(is_stale ? encode_response(409, {}, "{\"why\":\"fence\"}") : encode_response(200, {}, "{}"));
    }

    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_newest;
    http_server m_server;
};

// ---------------------------------------------------------------------------------------------------------------------
// Replicas of a plain service

/// One arrival of a request at a replica.
struct arrival {
    std::int64_t at_ms{};
    std::string id;
    std::string target;
    std::string replica;
    std::string tenant;
    /// Milliseconds the replica may spend.
    std::int64_t deadline_ms{};
};

struct replica_options {
    std::string service{"map-app"};
    std::string zone{"waw-a"};
    int slots{6};
    std::int64_t work_ms{30};
    std::int64_t heartbeat_ms{1200};
};

/// A replica of a plain service. It writes its entry into the store, checks `Dragonflywell-Expect-Instance`, runs a
/// request for `work_ms` and answers with a signature.
class replica {
public:
    using observer = std::function<void(const arrival&)>;

    replica(store& list, const address& place, replica_options options, observer on_run)
        : m_list(&list), m_options(std::move(options)), m_on_run(std::move(on_run)), m_place(place) {
        begin();
    }
    ~replica() { end(); }

    /// Starts an incarnation: a new id unless one is given, and a new `born`.
    void begin(const std::string& id = {}) {
        const std::scoped_lock lock(m_mutex);
        m_id = id.empty() ? "i-" + make_id().substr(0, 8) : id;
        m_born = unix_ms();
        m_sequence = 0;
        m_is_draining = false;
        m_is_listed = true;
        m_server = std::make_unique<http_server>(
            m_place, [this](const message& request, connection& caller) { return handle(request, caller); });
        m_is_beating = true;
        m_beat = std::thread([this] { beat(); });
        write_entry();
    }

    /// Ends the process: the listener is closed and all connections are reset. Its entry stays until it expires.
    void end() {
        m_is_beating = false;
        if (m_beat.joinable()) {
            m_beat.join();
        }
        const std::scoped_lock lock(m_mutex);
        if (m_server != nullptr) {
            m_server->stop();
            m_ended.push_back(std::move(m_server));
        }
    }

    void drain() {
        const std::scoped_lock lock(m_mutex);
        m_is_draining = true;
        write_entry();
    }
    /// The platform removes the entry.
    void unlist() {
        const std::scoped_lock lock(m_mutex);
        m_is_listed = false;
        m_list->put("keyed.servers", m_id, "");
    }

    std::string id() const {
        const std::scoped_lock lock(m_mutex);
        return m_id;
    }
    std::string entry(const std::string& state) const {
        const std::scoped_lock lock(m_mutex);
        return make_entry(state);
    }
    const address& place() const { return m_place; }
    const replica_options& options() const { return m_options; }

    /// Called for each request instead of running it, if set. Returns whether the request was handled.
    std::function<bool(const message&, connection&)> intercept;

private:
    std::string make_entry(const std::string& state) const {
        return "{\"service\":\"" + m_options.service + "\",\"addr\":\"" + m_place.text() + "\",\"zone\":\"" +
               m_options.zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.slots) + ",\"state\":\"" +
               state + "\",\"coldRemainingMs\":0,\"seq\":" + std::to_string(m_sequence) +
               ",\"born\":" + std::to_string(m_born) + "}";
    }
    void write_entry() {
        ++m_sequence;
        if (m_is_listed) {
            m_list->put("keyed.servers", m_id, make_entry(m_is_draining ? "draining" : "ready"));
        }
    }
    void beat() {
        std::int64_t next = now_ms() + m_options.heartbeat_ms;
        while (m_is_beating) {
            sleep_ms(20);
            if (now_ms() >= next) {
                next += m_options.heartbeat_ms;
                const std::scoped_lock lock(m_mutex);
                write_entry();
            }
        }
    }
    bool handle(const message& request, connection& caller) {
        std::string own;
        {
            const std::scoped_lock lock(m_mutex);
            own = m_id;
        }
        const std::string expected = request.header("Dragonflywell-Expect-Instance");
        if (!expected.empty() && expected != own) {
            return caller.write(encode_response(421, {{"Dragonflywell-Instance-Id", own}}, ""));
        }
        if (intercept && intercept(request, caller)) {
            return !caller.is_reset();
        }
        const std::string id = request.header("Dragonflywell-Attempt-Id");
        m_on_run({.at_ms = now_ms(),
                  .id = id,
                  .target = request.target,
                  .replica = own,
                  .tenant = request.header("Dragonflywell-Tenant"),
                  .deadline_ms = std::strtoll(request.header("Dragonflywell-Deadline-Ms").c_str(), nullptr, 10)});
        const std::int64_t done = now_ms() + m_options.work_ms;
        while (now_ms() < done) {
            if (caller.is_reset() || caller.has_ended()) {
                return false;
            }
            sleep_ms(std::min<std::int64_t>(5, std::max<std::int64_t>(1, done - now_ms())));
        }
        const std::string body = "done " + id;
        const std::string response = encode_response(
            200, {{"Dragonflywell-Attempt-Id", id}, {"Dragonflywell-Server-Seal", "s." + id}}, body);
        const std::size_t sent = response.size() - (request.method == "HEAD" ? body.size() : 0);
        return caller.write(response.substr(0, sent));
    }

    store* m_list;
    replica_options m_options;
    observer m_on_run;
    address m_place;
    mutable std::mutex m_mutex;
    std::string m_id;
    std::int64_t m_born{};
    int m_sequence{0};
    bool m_is_draining{false};
    bool m_is_listed{true};
    std::unique_ptr<http_server> m_server;
    std::vector<std::unique_ptr<http_server>> m_ended;
    std::atomic<bool> m_is_beating{false};
    std::thread m_beat;
};

// ---------------------------------------------------------------------------------------------------------------------
// Daemons

inline std::string read_text(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

inline void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/// Bounds of the site `tec-mapy`.
inline const std::map<std::string, std::string>& site_settings() {
    static const std::map<std::string, std::string> settings{{"heartbeatMs", "1200"},
                                                             {"bounds.contactMs", "3000"},
                                                             {"bounds.drainMs", "2000"},
                                                             {"bounds.graceS", "8"},
                                                             {"bounds.configApplyMs", "2000"},
                                                             {"bounds.leaseMs", "3000"},
                                                             {"bounds.retryBudgetRatio", "0.2"},
                                                             {"bounds.retrySlack", "52"},
                                                             {"bounds.budgetWindowS", "10"},
                                                             {"bounds.usageWindowS", "5"},
                                                             {"bounds.usageLateS", "10"},
                                                             {"cloudApi.dutyPerS", "50.0"}};
    return settings;
}

/// One daemon, started with the command and the settings template of the deploy file.
class host {
public:
    host(std::string folder, std::string name, std::string zone, std::string ip, address store_place, address api_place)
        : m_folder(std::move(folder)), m_name(std::move(name)), m_zone(std::move(zone)), m_ip(std::move(ip)),
          m_store(std::move(store_place)), m_api(std::move(api_place)), m_front(find_address(m_ip)),
          m_ready(find_address(m_ip)), m_internal(find_address(m_ip)) {}
    ~host() { kill(); }

    void start() {
        std::string settings = read_text("deploy/host.toml.in");
        const std::size_t list = settings.find("{{#cloudApi.duties}}");
        const std::string list_end = "{{/cloudApi.duties}}";
        const std::size_t end = settings.find(list_end);
        if (list == std::string::npos || end == std::string::npos) {
            give_up("the settings template is not the expected one");
        }
        settings.replace(list, end + list_end.size() - list, "\"usage\"");
        for (const auto& [name, value] : site_settings()) {
            replace_all(settings, "{{" + name + "}}", value);
        }
        replace_all(settings, "{{nodeName}}", m_name);
        replace_all(settings, "{{zone}}", m_zone);
        replace_all(settings, "{{ip}}", m_ip);
        replace_all(settings, "{{bootstrap}}", m_starts == 0 ? "true" : "false");
        replace_all(settings, "{{listen.front}}", m_front.text());
        replace_all(settings, "{{listen.ready}}", m_ready.text());
        replace_all(settings, "{{internalPorts.0}}", std::to_string(m_internal.port));
        replace_all(settings, "{{provider.addr}}", m_store.text());
        replace_all(settings, "{{cloudApi.addr}}", m_api.text());
        if (settings.find("{{") != std::string::npos) {
            give_up("the settings template has unknown fields");
        }
        const std::string path = m_folder + "/" + m_name + ".toml";
        std::ofstream(path) << settings;
        const std::string log = m_folder + "/" + m_name + ".log";
        const std::vector<std::string> words = get_command();
        const pid_t child = ::fork();
        if (child == 0) {
            // The daemon ends with the script, however the script ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            std::vector<char*> arguments;
            for (const std::string& word : words) {
                arguments.push_back(const_cast<char*>(word.c_str()));
            }
            arguments.push_back(nullptr);
            const std::string boot = "DRAGONFLYWELL_BOOT=" + path;
            char* environment[] = {const_cast<char*>("PATH=/usr/bin:/bin"), const_cast<char*>("HOME=/tmp"),
                                   const_cast<char*>("LANG=C.UTF-8"), const_cast<char*>(boot.c_str()), nullptr};
            ::execve(arguments[0], arguments.data(), environment);
            ::_exit(127);
        }
        m_process = child;
        the_children().add(child);
        ++m_starts;
        m_started_at = now_ms();
        record(m_name + ": started");
    }

    /// Whether the daemon answers its readiness check with 200.
    bool is_ready() const {
        client_request question{.method = "GET", .target = "/-/ready", .deadline_ms = 500};
        const outcome got = call(m_ready, question);
        return got.how == outcome::answered && got.answer.status == 200;
    }
    void wait_until_ready(std::int64_t limit_ms = 10000) {
        const std::int64_t end = now_ms() + limit_ms;
        while (!is_ready()) {
            if (now_ms() > end) {
                give_up(m_name + " did not become ready");
            }
            sleep_ms(50);
        }
    }

    void send(int signal) {
        record(m_name + ": signal " + std::to_string(signal));
        if (m_process > 0) {
            ::kill(m_process, signal);
        }
    }
    /// Whether the process has ended; its wait status is in `status`.
    bool has_ended() {
        if (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process) {
            the_children().remove(m_process);
            m_process = -1;
            record(m_name + ": ended with wait status " + std::to_string(status));
        }
        return m_process <= 0;
    }
    /// SIGTERM, and SIGKILL after the grace period, like the platform.
    void terminate(std::int64_t grace_ms = 8000) {
        send(SIGTERM);
        const std::int64_t end = now_ms() + grace_ms;
        while (!has_ended() && now_ms() < end) {
            sleep_ms(20);
        }
        kill();
    }
    void kill() {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, &status, 0);
            the_children().remove(m_process);
            m_process = -1;
        }
    }

    const std::string& name() const { return m_name; }
    const address& front() const { return m_front; }
    std::int64_t started_at() const { return m_started_at; }
    pid_t process() const { return m_process; }
    int status{0};

private:
    /// The command of the deploy file, split at spaces.
    static std::vector<std::string> get_command() {
        const std::string text = read_text("deploy/system.toml");
        const std::size_t begin = text.find("\nrun = \"");
        if (begin == std::string::npos) {
            give_up("the deploy file has no command");
        }
        const std::size_t first = begin + 8;
        std::stringstream command(text.substr(first, text.find('"', first) - first));
        std::vector<std::string> words;
        std::string word;
        while (command >> word) {
            words.push_back(word);
        }
        return words;
    }

    std::string m_folder;
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    address m_store;
    address m_api;
    address m_front;
    address m_ready;
    address m_internal;
    pid_t m_process{-1};
    std::atomic<std::int64_t> m_started_at{0};
    int m_starts{0};
};

// ---------------------------------------------------------------------------------------------------------------------
// A small deployment

/// A prefix of loopback addresses that no other run on this machine uses: 127.x.y.
inline std::string get_ip_prefix() {
    const int number = getpid();
    return "127." + std::to_string(20 + number % 200) + "." + std::to_string(1 + (number / 200) % 250) + ".";
}

inline std::string& the_folder() {
    static std::string folder;
    return folder;
}

inline void remove_folder() {
    if (!the_folder().empty() && std::getenv("KEEP") == nullptr) {
        const std::string command = "rm -rf '" + the_folder() + "'";
        if (std::system(command.c_str()) != 0) {
            std::fprintf(stderr, "the temporary folder stays\n");
        }
    }
}

[[noreturn]] inline void give_up(const std::string& why) {
    std::fprintf(stderr, "could not run: %s\n", why.c_str());
    if (the_record() != nullptr) {
        record("could not run: " + why);
    }
    end_children();
    remove_folder();
    std::_Exit(exit_could_not_run);
}

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

struct deployment {
    std::string prefix{get_ip_prefix()};
    std::unique_ptr<store> list;
    std::unique_ptr<platform_api> api;
    std::vector<std::unique_ptr<host>> hosts;

    /// Makes the store, the platform's API and a number of hosts that are not started yet.
    explicit deployment(int host_count) {
        char name[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(name) == nullptr) {
            give_up("no temporary folder");
        }
        the_folder() = name;
        list = std::make_unique<store>(find_address(prefix + "2"));
        api = std::make_unique<platform_api>(find_address(prefix + "3"));
        static const char* zones[] = {"waw-a", "waw-b", "lodz-a", "lodz-b"};
        for (int index = 0; index < host_count; ++index) {
            hosts.push_back(std::make_unique<host>(the_folder(), "front-" + std::to_string(index + 1), zones[index % 4],
                                                   prefix + std::to_string(11 + index), list->place(), api->place()));
        }
    }

    void start_hosts() {
        for (const auto& one : hosts) {
            one->start();
        }
        for (const auto& one : hosts) {
            one->wait_until_ready();
        }
    }

};

/// Ends all processes and the script.
[[noreturn]] inline void finish(int code) {
    end_children();
    remove_folder();
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace review
