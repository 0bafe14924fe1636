// Stand-ins for the cases of REPORT-3.md: a platform's store, the platform's API, replicas, clients, and daemons that
// run as separate processes. Everything listens on loopback addresses. Blocking sockets, one thread for a connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <boost/json/src.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using steady = std::chrono::steady_clock;

inline const steady::time_point began_at = steady::now();

/// Seconds since the start of the program.
inline double get_seconds() {
    return std::chrono::duration<double>(steady::now() - began_at).count();
}

inline std::int64_t get_wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(int milliseconds) {
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// Writes the record of a run: one line for each thing that was sent, answered or run.
class record_file {
public:
    explicit record_file(const std::string& path) : m_file(path) {}

    void add(const std::string& line) {
        const std::scoped_lock lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f  ", get_seconds());
        m_file << time << line << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline std::string format(const char* pattern, ...) __attribute__((format(printf, 1, 2)));
inline std::string format(const char* pattern, ...) {
    va_list values;
    va_start(values, pattern);
    char text[4096];
    std::vsnprintf(text, sizeof(text), pattern, values);
    va_end(values);
    return text;
}

inline bool is_same_name(const std::string& left, const std::string& right) {
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

/// One HTTP message, a request or a response.
struct message {
    std::string first_line;
    std::string method;
    std::string target;
    int status{0};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The end of the body was seen.
    bool is_complete{false};

    [[nodiscard]] std::string get(const std::string& name) const {
        for (const auto& [key, value] : headers) {
            if (is_same_name(key, name)) {
                return value;
            }
        }
        return {};
    }

    /// Returns the path without the query.
    [[nodiscard]] std::string get_path() const { return target.substr(0, target.find('?')); }

    [[nodiscard]] std::string get_parameter(const std::string& name) const {
        const std::size_t question = target.find('?');
        if (question == std::string::npos) {
            return {};
        }
        std::stringstream query(target.substr(question + 1));
        std::string pair;
        while (std::getline(query, pair, '&')) {
            const std::size_t equals = pair.find('=');
            if (pair.substr(0, equals) == name && equals != std::string::npos) {
                return decode(pair.substr(equals + 1));
            }
        }
        return {};
    }

    static std::string decode(const std::string& text) {
        std::string decoded;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
                index += 2;
            } else {
                decoded += text[index] == '+' ? ' ' : text[index];
            }
        }
        return decoded;
    }
};

/// A blocking connection that reads messages. Not copied; closes its descriptor.
class connection {
public:
    explicit connection(int descriptor) : m_descriptor(descriptor) {
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    void close() {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
            m_descriptor = -1;
        }
    }

    /// Closes with a reset instead of a proper end.
    void reset() {
        const linger hard{1, 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close();
    }

    [[nodiscard]] int get_descriptor() const { return m_descriptor; }

    bool write(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    void set_read_timeout(int milliseconds) {
        const timeval limit{milliseconds / 1000, (milliseconds % 1000) * 1000};
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    /// Reads more bytes into the buffer. Returns whether there were any.
    bool read_more() {
        char piece[65536];
        const ssize_t count = ::recv(m_descriptor, piece, sizeof(piece), 0);
        if (count <= 0) {
            m_is_timed_out = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            m_is_reset = count < 0 && !m_is_timed_out;
            return false;
        }
        m_buffer.append(piece, static_cast<std::size_t>(count));
        return true;
    }

    /// Returns whether the peer has closed the connection, without waiting.
    [[nodiscard]] bool is_closed_by_peer() const {
        char byte = 0;
        const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    [[nodiscard]] bool is_timed_out() const { return m_is_timed_out; }
    [[nodiscard]] bool is_reset() const { return m_is_reset; }
    std::string& get_buffer() { return m_buffer; }

    /// Reads the header of a message; nothing if the connection ends before.
    std::optional<message> read_head() {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!read_more()) {
                return std::nullopt;
            }
        }
        message read;
        std::stringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        read.first_line = line.substr(0, line.find('\r'));
        std::stringstream words(read.first_line);
        if (read.first_line.rfind("HTTP/", 0) == 0) {
            std::string version;
            words >> version >> read.status;
        } else {
            words >> read.method >> read.target;
        }
        while (std::getline(lines, line)) {
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string value = line.substr(colon + 1);
            while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
                value.erase(0, 1);
            }
            while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
                value.pop_back();
            }
            read.headers.emplace_back(line.substr(0, colon), value);
        }
        return read;
    }

    /// Reads the body of a message whose header was read. `on_piece` gets each piece as it arrives.
    bool read_body(message& read, const std::function<void(const std::string&)>& on_piece = {}) {
        const auto take = [&](std::size_t count) {
            const std::string piece = m_buffer.substr(0, count);
            m_buffer.erase(0, count);
            read.body += piece;
            if (on_piece && !piece.empty()) {
                on_piece(piece);
            }
        };
        if (read.get("Transfer-Encoding") == "chunked") {
            for (;;) {
                std::size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!read_more()) {
                        return false;
                    }
                }
                const std::size_t length = std::strtoul(m_buffer.c_str(), nullptr, 16);
                m_buffer.erase(0, end + 2);
                while (m_buffer.size() < length + 2) {
                    if (!read_more()) {
                        return false;
                    }
                }
                take(length);
                m_buffer.erase(0, 2);
                if (length == 0) {
                    read.is_complete = true;
                    return true;
                }
            }
        }
        const std::string length_text = read.get("Content-Length");
        if (length_text.empty() && read.status != 0 && read.status != 204 && read.status != 304) {
            while (read_more()) {
                take(m_buffer.size());
            }
            read.is_complete = !m_is_reset && !m_is_timed_out;
            return read.is_complete;
        }
        const std::size_t length = std::strtoul(length_text.c_str(), nullptr, 10);
        while (read.body.size() < length) {
            if (m_buffer.empty() && !read_more()) {
                return false;
            }
            take(std::min(length - read.body.size(), m_buffer.size()));
        }
        read.is_complete = true;
        return true;
    }

    std::optional<message> read_message() {
        std::optional<message> read = read_head();
        if (read) {
            read_body(*read);
        }
        return read;
    }

private:
    int m_descriptor;
    std::string m_buffer;
    bool m_is_timed_out{false};
    bool m_is_reset{false};
};

inline sockaddr_in make_address(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Connects; returns null when that fails.
inline std::unique_ptr<connection> open_connection(const std::string& ip, int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = make_address(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

/// Returns a port that is free for TCP and UDP at the address.
inline int find_free_port(const std::string& ip) {
    for (;;) {
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = make_address(ip, 0);
        socklen_t length = sizeof(address);
        ::bind(tcp, reinterpret_cast<sockaddr*>(&address), length);
        ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &length);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const bool is_free = ::bind(udp, reinterpret_cast<sockaddr*>(&address), length) == 0;
        ::close(tcp);
        ::close(udp);
        if (is_free) {
            return ntohs(address.sin_port);
        }
    }
}

/// Accepts connections and gives each to a thread of its own.
class listener {
public:
    using handler = std::function<void(connection&)>;

    listener(std::string ip, handler handle, int receive_buffer = 0, int port = 0)
        : m_ip(std::move(ip)), m_handle(std::move(handle)) {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        if (receive_buffer > 0) {
            setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
        }
        sockaddr_in address = make_address(m_ip, port);
        socklen_t length = sizeof(address);
        if (::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), length) != 0) {
            std::perror("bind");
            std::exit(2);
        }
        ::listen(m_descriptor, 512);
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        std::thread([descriptor = m_descriptor, handle = m_handle] {
            for (;;) {
                const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([accepted, handle] {
                    connection own(accepted);
                    handle(own);
                }).detach();
            }
        }).detach();
    }

    /// Ends the acceptance of connections; the port refuses from now on.
    void close() {
        ::shutdown(m_descriptor, SHUT_RDWR);
        ::close(m_descriptor);
    }

    [[nodiscard]] int get_port() const { return m_port; }
    [[nodiscard]] std::string get_endpoint() const { return m_ip + ":" + std::to_string(m_port); }

private:
    std::string m_ip;
    handler m_handle;
    int m_descriptor{-1};
    int m_port{0};
};

inline std::string make_response(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string make_json_response(int status, const std::string& body) {
    return make_response(status, "Content-Type: application/json\r\n", body);
}

/// The platform's store: appends, reads with long polls, and listings of keyed topics with one partition.
class store {
public:
    /// May change what becomes of a call: returns whether it was handled.
    using interceptor = std::function<bool(const message&, connection&)>;

    explicit store(const std::string& ip, interceptor intercept = {})
        : m_intercept(std::move(intercept)), m_listener(ip, [this](connection& peer) { serve(peer); }) {}

    [[nodiscard]] std::string get_endpoint() const { return m_listener.get_endpoint(); }

    void put(const std::string& topic, const std::string& key, const std::string& value) {
        const std::scoped_lock lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }

    std::size_t get_end(const std::string& topic) {
        const std::scoped_lock lock(m_mutex);
        return m_topics[topic].size();
    }

    /// Carries out a call and returns its response.
    std::string carry_out(const message& call) {
        const std::string path = call.get_path();
        const std::string topic = call.get_parameter("topic");
        if (path == "/-/log-append") {
            return append(topic, call);
        }
        if (path == "/-/log-read") {
            return read(topic, call);
        }
        if (path == "/-/log-newest") {
            return list(topic);
        }
        return make_json_response(404, "{}");
    }

private:
    struct record {
        std::string key;
        std::string value;
    };

    void serve(connection& peer) {
        while (const std::optional<message> call = peer.read_message()) {
            if (m_intercept && m_intercept(*call, peer)) {
                return;
            }
            if (!peer.write(carry_out(*call))) {
                return;
            }
        }
    }

    std::string append(const std::string& topic, const message& call) {
        const std::scoped_lock lock(m_mutex);
        std::vector<record>& log = m_topics[topic];
        const std::string at = call.get_parameter("at");
        const std::size_t end = log.size();
        if (!at.empty() && std::stoull(at) != end) {
            return make_json_response(412, "{\"endOffset\":" + std::to_string(end) + "}");
        }
        std::string_view rest = call.body;
        while (rest.size() >= 4) {
            std::size_t length = 0;
            for (int index = 0; index < 4; ++index) {
                length = (length << 8U) | static_cast<unsigned char>(rest[static_cast<std::size_t>(index)]);
            }
            const std::string content(rest.substr(4, length));
            const std::size_t key_length = static_cast<unsigned char>(content.at(0));
            log.push_back({content.substr(1, key_length), content.substr(1 + key_length)});
            rest.remove_prefix(4 + length);
        }
        m_changed.notify_all();
        return make_json_response(200, "{\"offset\":" + std::to_string(end) +
                                           ",\"endOffset\":" + std::to_string(log.size()) + "}");
    }

    std::string read(const std::string& topic, const message& call) {
        std::unique_lock lock(m_mutex);
        const std::size_t from = std::stoull(call.get_parameter("from"));
        const std::string wait = call.get_parameter("waitMs");
        m_changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)),
                           [&] { return m_topics[topic].size() > from; });
        const std::vector<record>& log = m_topics[topic];
        std::string body = encode(log.size(), 8) + encode(0, 8);
        for (std::size_t offset = from; offset < log.size(); ++offset) {
            const record& each = log[offset];
            body += encode(1 + each.key.size() + each.value.size(), 4);
            body += static_cast<char>(each.key.size());
            body += each.key + each.value;
        }
        return make_response(200, "", body);
    }

    std::string list(const std::string& topic) {
        const std::scoped_lock lock(m_mutex);
        const std::vector<record>& log = m_topics[topic];
        std::map<std::string, std::size_t> newest;
        for (std::size_t offset = 0; offset < log.size(); ++offset) {
            newest[log[offset].key] = offset;
        }
        boost::json::array items;
        for (const auto& [key, offset] : newest) {
            if (!log[offset].value.empty()) {
                items.push_back(boost::json::object{
                    {"key", key}, {"value", encode_base64(log[offset].value)}, {"offset", offset}});
            }
        }
        return make_json_response(200, boost::json::serialize(boost::json::object{
                                           {"items", items}, {"more", false}, {"endOffset", log.size()}}));
    }

    static std::string encode(std::size_t number, int bytes) {
        std::string text;
        for (int index = bytes - 1; index >= 0; --index) {
            text += static_cast<char>((number >> (8 * index)) & 0xffU);
        }
        return text;
    }

    static std::string encode_base64(const std::string& bytes) {
        constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t index = 0; index < bytes.size(); index += 3) {
            std::uint32_t group = 0;
            for (std::size_t offset = 0; offset < 3; ++offset) {
                group = (group << 8U) |
                        (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
            }
            for (std::size_t offset = 0; offset < 4; ++offset) {
                const bool is_padding = index + offset > bytes.size();
                text += is_padding ? '=' : letters[(group >> (18 - 6 * offset)) & 63U];
            }
        }
        return text;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<record>> m_topics;
    interceptor m_intercept;
    listener m_listener;
};

/// A daemon as a separate process, with the command of the deploy file and the settings of a small deployment.
struct daemon_options {
    std::string name{"front-pampa-norte-a-1"};
    std::string zone{"pampa-norte-a"};
    std::string ip{"127.0.0.1"};
    std::string store{};
    std::string cloud{};
    bool is_first_start{true};
    std::string folder{};
    /// The limits of the machine, by which the platform fills in the environment.
    int memory_mb{260};
    int descriptors{4100};
};

class daemon_process {
public:
    explicit daemon_process(daemon_options options)
        : m_options(std::move(options)), m_front(find_free_port(m_options.ip)), m_ready(find_free_port(m_options.ip)),
          m_hosts(find_free_port(m_options.ip)), m_metrics(find_free_port(m_options.ip)) {}
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    ~daemon_process() { kill(); }

    void start() {
        const std::string path = m_options.folder + "/" + m_options.name + ".toml";
        std::ofstream(path) << make_settings();
        const std::string log = m_options.folder + "/" + m_options.name + ".log";
        m_options.is_first_start = false;
        const char* program = std::getenv("DAEMON");
        const std::string own_program = program != nullptr ? program : "target/bin/dragonflywelld";
        m_pid = ::fork();
        if (m_pid == 0) {
            // The daemon ends with the program, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::setenv("DRAGONFLYWELL_BOOT", path.c_str(), 1);
            ::setenv("HOST_LINK_MBPS", "1000", 1);
            ::setenv("HOST_CPU_SHARE", "0.25", 1);
            ::setenv("HOST_MEMORY_MB", std::to_string(m_options.memory_mb).c_str(), 1);
            ::setenv("HOST_MAX_DESCRIPTORS", std::to_string(m_options.descriptors).c_str(), 1);
            ::setenv("HOST_QUOTA_WINDOW_S", "", 1);
            ::setenv("HOST_QUOTA_OVERAGE", "", 1);
            ::setenv("HOST_QUOTA_SLACK", "", 1);
            ::setenv("HOST_LEARN_SERVER_SPEEDS", "false", 1);
            ::execl(own_program.c_str(), own_program.c_str(), "--config-from", "DRAGONFLYWELL_BOOT", nullptr);
            ::_exit(127);
        }
    }

    void send(int signal) const {
        if (m_pid > 0) {
            ::kill(m_pid, signal);
        }
    }

    void kill() {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    /// Returns whether the process runs. Keeps its wait status once it has ended.
    bool is_running() {
        if (m_pid <= 0) {
            return false;
        }
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_status = status;
            m_pid = -1;
            return false;
        }
        return true;
    }

    /// Waits until the process says that it is ready.
    bool wait_until_ready(int seconds = 20) {
        const auto give_up_at = steady::now() + std::chrono::seconds(seconds);
        while (steady::now() < give_up_at && is_running()) {
            if (is_ready()) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    [[nodiscard]] bool is_ready() const {
        const auto peer = open_connection(m_options.ip, m_ready);
        if (peer == nullptr) {
            return false;
        }
        peer->set_read_timeout(1000);
        peer->write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const std::optional<message> response = peer->read_message();
        return response && response->status == 200;
    }

    /// Returns the memory of the process that is in use, in kB; the second figure is the peak.
    [[nodiscard]] std::pair<long, long> get_memory_kb() const {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        std::pair<long, long> memory{0, 0};
        while (std::getline(file, line)) {
            if (line.rfind("VmRSS:", 0) == 0) {
                memory.first = std::atol(line.c_str() + 6);
            }
            if (line.rfind("VmHWM:", 0) == 0) {
                memory.second = std::atol(line.c_str() + 6);
            }
        }
        return memory;
    }

    [[nodiscard]] std::unique_ptr<connection> connect() const { return open_connection(m_options.ip, m_front); }
    [[nodiscard]] int get_front_port() const { return m_front; }
    [[nodiscard]] const std::string& get_ip() const { return m_options.ip; }
    [[nodiscard]] int get_status() const { return m_status; }
    [[nodiscard]] int get_pid() const { return m_pid; }
    [[nodiscard]] std::string get_name() const { return m_options.name; }
    [[nodiscard]] std::string get_settings_path() const { return m_options.folder + "/" + m_options.name + ".toml"; }

    /// The settings as the template of the deploy file gives them.
    [[nodiscard]] std::string make_settings() const {
        std::stringstream text;
        const auto at = [this](int port) { return "\"" + m_options.ip + ":" + std::to_string(port) + "\"\n"; };
        text << "[host]\nname = \"" << m_options.name << "\"\nzone = \"" << m_options.zone << "\"\naddress = \""
             << m_options.ip << "\"\nis_first_start = " << (m_options.is_first_start ? "true" : "false")
             << "\n\n[listen]\ncallers = " << at(m_front) << "ready = " << at(m_ready) << "metrics = " << at(m_metrics)
             << "hosts = " << at(m_hosts) << "\n[store]\naddress = \"" << m_options.store
             << "\"\n\n[orders]\naddress = \"" << m_options.cloud
             << "\"\ncalls_per_second = 50.0\nduties = [\"usage\", \"autoscale\"]\n\n[bounds]\n"
                "server_heartbeat_ms = 1200\ncontact_ms = 3000\ndrain_ms = 2000\nstop_s = 8\n"
                "configuration_ms = 2000\nlease_ms = 3000\nrepeats_per_request = 0.2\nrepeats_besides = 58\n"
                "repeats_window_s = 10\nusage_window_s = 5\nusage_due_s = 10\n";
        return text.str();
    }

private:
    daemon_options m_options;
    int m_front;
    int m_ready;
    int m_hosts;
    int m_metrics;
    pid_t m_pid{-1};
    int m_status{0};
};

/// Values of one route of a configuration.
struct route_options {
    std::string prefix;
    std::string service;
    std::string kind;
    int attempts{1};
    int timeout_ms{4000};
    bool is_resumable{false};
};

inline boost::json::object make_route(const route_options& options) {
    return {{"name", options.prefix},          {"host", "calls.example"},
            {"pathPrefix", "/" + options.prefix + "/"},
            {"service", options.service},      {"kind", options.kind},
            {"resumable", options.is_resumable}, {"attempts", options.attempts},
            {"timeoutMs", options.timeout_ms}, {"targetLatencyMs", 500},
            {"targetGapMs", 300},              {"priority", 0},
            {"sticky", options.kind == "stream"}};
}

struct configuration_options {
    int version{1};
    std::vector<route_options> routes;
    std::vector<std::pair<std::string, std::vector<std::string>>> tenants{{"acme", {"key-of-acme"}}};
    int max_body_bytes{4194304};
    int engine_slots{64};
    int engine_tokens{556694};
};

inline std::string make_configuration(const configuration_options& options) {
    boost::json::array routes;
    for (const route_options& route : options.routes) {
        routes.push_back(make_route(route));
    }
    boost::json::array tenants;
    for (const auto& [name, keys] : options.tenants) {
        boost::json::array list;
        for (const std::string& key : keys) {
            list.emplace_back(key);
        }
        tenants.push_back(boost::json::object{{"name", name}, {"apiKeys", list}});
    }
    const boost::json::object engine{{"slots", options.engine_slots}, {"kvCapacity", options.engine_tokens}, {"kvTokenBytes", 327680},
                                     {"linkMbps", 3800000}, {"kvHoldS", 5}, {"switchS", 3},
                                     {"stride", 1}};
    return boost::json::serialize(boost::json::object{
        {"version", options.version},
        {"routes", routes},
        {"services",
         boost::json::array{
             boost::json::object{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 110}},
             boost::json::object{{"name", "llm"}, {"healthPath", "/health"}, {"maxConns", 370}, {"engine", engine}}}},
        {"tenants", tenants},
        {"limits", boost::json::object{{"maxHeaderBytes", 16384},
                                       {"maxBodyBytes", options.max_body_bytes},
                                       {"headerTimeoutMs", 3000},
                                       {"idleTimeoutMs", 15000}}}});
}

struct entry_options {
    std::string service;
    std::string address;
    std::string zone{"pampa-norte-a"};
    std::string state{"ready"};
    std::string stage{};
    int slots{6};
    std::int64_t born{get_wall_ms()};
    int seq{1};
};

inline std::string make_entry(const entry_options& options) {
    boost::json::object entry{{"service", options.service},
                              {"addr", options.address},
                              {"zone", options.zone},
                              {"version", "1"},
                              {"slots", options.slots},
                              {"state", options.state},
                              {"coldRemainingMs", 0},
                              {"seq", options.seq},
                              {"born", options.born}};
    if (!options.stage.empty()) {
        entry["stage"] = options.stage;
    }
    return boost::json::serialize(entry);
}

/// Answers calls of the platform's API: takes all.
inline std::unique_ptr<listener> make_cloud(const std::string& ip, const std::function<void(const message&)>& on_call) {
    return std::make_unique<listener>(ip, [on_call](connection& peer) {
        while (const std::optional<message> call = peer.read_message()) {
            on_call(*call);
            if (!peer.write(make_json_response(200, "{}"))) {
                return;
            }
        }
    });
}

inline std::string make_request(const std::string& method, const std::string& target, const std::string& id,
                                const std::string& fields, const std::string& body, int deadline_ms = 4000) {
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: calls.example\r\nDragonflywell-Attempt-Id: " + id +
                       "\r\nDragonflywell-Deadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\nApi-Key: key-of-acme\r\n" + fields;
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// The temporary folder of a run; removed at its end.
class run_folder {
public:
    run_folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    run_folder(const run_folder&) = delete;
    run_folder& operator=(const run_folder&) = delete;
    ~run_folder() {
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_path);
        } else {
            std::cerr << "kept " << m_path << "\n";
        }
    }

    [[nodiscard]] const std::string& get_path() const { return m_path; }

private:
    std::string m_path;
};

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

} // namespace world
