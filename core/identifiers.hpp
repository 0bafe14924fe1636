#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflywell {

/// A strongly typed name, which cannot be used in place of a name of another kind.
///
/// Immutable after construction, and therefore safe to share between threads.
template <typename Tag>
class identifier {
public:
    identifier() = default;
    explicit identifier(std::string value) : m_value(std::move(value)) {}
    explicit identifier(std::string_view value) : m_value(value) {}
    explicit identifier(const char* value) : m_value(value) {}

    [[nodiscard]] const std::string& value() const noexcept { return m_value; }
    [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

    friend auto operator<=>(const identifier&, const identifier&) = default;
    friend bool operator==(const identifier&, const identifier&) = default;

private:
    std::string m_value;
};

using organisation_name = identifier<struct organisation_tag>;
using zone_name = identifier<struct zone_tag>;
using host_name = identifier<struct host_tag>;
using backend_server_name = identifier<struct backend_server_tag>;
using model_name = identifier<struct model_tag>;
using service_name = identifier<struct service_tag>;
/// What a quota or a limit applies to: the name of an organisation or of a backend server.
using quota_subject = identifier<struct quota_subject_tag>;

} // namespace dragonflywell

template <typename Tag>
struct std::hash<dragonflywell::identifier<Tag>> {
    std::size_t operator()(const dragonflywell::identifier<Tag>& name) const noexcept {
        return std::hash<std::string>{}(name.value());
    }
};
