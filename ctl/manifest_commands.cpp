#include "ctl/manifest_commands.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <openssl/rand.h>
#include <ostream>
#include <unistd.h>

#include "coordination/configuration.hpp"
#include "core/error.hpp"
#include "core/hash.hpp"
#include "core/read_file.hpp"
#include "ctl/operator_streams.hpp"
#include "fleet/manifest.hpp"

namespace dragonflywell::ctl {

namespace {

const std::string& require_one(const std::vector<std::string>& arguments, const char* what) {
    if (arguments.size() != 1) {
        throw invalid_input_error(
            {{.location = "arguments", .message = fmt::format("exactly one {} is needed", what)}});
    }
    return arguments.front();
}

class manifest_check final : public command {
public:
    [[nodiscard]] std::string get_name() const override { return "manifest check"; }
    [[nodiscard]] std::string get_summary() const override { return "FILE  check a manifest and print all problems"; }

    int run(const command_context& context, const std::vector<std::string>& arguments) override {
        const std::string& path = require_one(arguments, "file");
        const fleet::manifest_entries entries = fleet::get_manifest_entries(read_file(path));
        static_cast<void>(fleet::parse_manifest(entries));
        if (context.is_json) {
            context.out << boost::json::serialize(boost::json::object{{"ok", true}, {"entries", entries.size()}})
                        << "\n";
        } else {
            context.out << path << ": ok, " << entries.size() << " entries\n";
        }
        return exit_ok;
    }
};

class manifest_publish final : public command {
public:
    [[nodiscard]] std::string get_name() const override { return "manifest publish"; }
    [[nodiscard]] std::string get_summary() const override { return "FILE  publish a manifest to all hosts"; }

    int run(const command_context& context, const std::vector<std::string>& arguments) override {
        const fleet::manifest_entries wanted = fleet::get_manifest_entries(read_file(require_one(arguments, "file")));
        static_cast<void>(fleet::parse_manifest(wanted));
        operator_streams streams(context);
        streams.configuration_stream.poll();
        const std::shared_ptr<const coordination::configuration> current = streams.configuration.get();
        const coordination::configuration_delta delta = coordination::get_difference(current->entries, wanted);
        if (delta.empty()) {
            print(context, current->version.value_or(0), delta);
            return exit_ok;
        }
        const coordination::log_offset published =
            coordination::publish_configuration(streams.configuration_stream, delta, current->version);
        print(context, published, delta);
        return exit_ok;
    }

private:
    static void print(const command_context& context, coordination::log_offset published,
                      const coordination::configuration_delta& delta) {
        if (context.is_json) {
            context.out << boost::json::serialize(boost::json::object{
                               {"version", published}, {"set", delta.set.size()}, {"removed", delta.removed.size()}})
                        << "\n";
            return;
        }
        context.out << "version " << published << ": " << delta.set.size() << " entries set, " << delta.removed.size()
                    << " removed\n";
    }
};

class manifest_show final : public command {
public:
    [[nodiscard]] std::string get_name() const override { return "manifest show"; }
    [[nodiscard]] std::string get_summary() const override { return "print the current manifest"; }

    int run(const command_context& context, const std::vector<std::string>& /*arguments*/) override {
        operator_streams streams(context);
        streams.configuration_stream.poll();
        context.out << fleet::get_manifest_document(streams.configuration.get()->entries) << "\n";
        return exit_ok;
    }
};

class key_create final : public command {
public:
    [[nodiscard]] std::string get_name() const override { return "key create"; }
    [[nodiscard]] std::string get_summary() const override {
        return "ORGANISATION  create an API key: the secret for the caller and the entry for the manifest";
    }

    int run(const command_context& context, const std::vector<std::string>& arguments) override {
        const std::string& organisation = require_one(arguments, "organisation");
        const std::string id = "k" + make_random_hex(8);
        const std::string secret = make_random_hex(24);
        const std::string salt = make_random_hex(8);
        const boost::json::object entry{
            {"organisation", organisation}, {"salt", salt}, {"sha256", get_sha256_hex(salt + secret)}};
        context.out << boost::json::serialize(
                           boost::json::object{{"key", id + "." + secret}, {"manifest", {{"keys", {{id, entry}}}}}})
                    << "\n";
        return exit_ok;
    }

private:
    static std::string make_random_hex(std::size_t bytes) {
        std::string random(bytes, '\0');
        if (RAND_bytes(reinterpret_cast<unsigned char*>(random.data()), static_cast<int>(bytes)) != 1) {
            throw error("the system returned no random bytes, so that no key was created");
        }
        return get_sha256_hex(random).substr(0, bytes * 2);
    }
};

} // namespace

std::vector<std::unique_ptr<command>> make_manifest_commands() {
    std::vector<std::unique_ptr<command>> commands;
    commands.push_back(std::make_unique<manifest_check>());
    commands.push_back(std::make_unique<manifest_publish>());
    commands.push_back(std::make_unique<manifest_show>());
    commands.push_back(std::make_unique<key_create>());
    return commands;
}

} // namespace dragonflywell::ctl
