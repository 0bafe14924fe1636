#pragma once

#include <array>
#include <cstddef>

namespace dragonflywell::policy {

/// Recursive least squares: learns how a figure follows from a few features, the newest observations counting most.
/// Not thread safe.
template <std::size_t Size>
class least_squares {
public:
    using features = std::array<double, Size>;

    /// `initial`: the weights before anything was observed. `doubt`: how far each may be off.
    /// `memory`: share of an observation's influence that is left after the next one; below 1.
    least_squares(const features& initial, const features& doubt, double memory)
        : m_weights(initial), m_memory(memory) {
        for (std::size_t index = 0; index < Size; ++index) {
            m_covariance[index][index] = doubt[index] * doubt[index];
        }
    }

    [[nodiscard]] double predict(const features& input) const {
        double sum = 0;
        for (std::size_t index = 0; index < Size; ++index) {
            sum += m_weights[index] * input[index];
        }
        return sum;
    }

    /// `noise`: how far off an observation may be by itself, in units of the figure.
    void observe(const features& input, double figure, double noise) {
        features gain{};
        double scale = noise * noise;
        for (std::size_t row = 0; row < Size; ++row) {
            for (std::size_t column = 0; column < Size; ++column) {
                gain[row] += m_covariance[row][column] * input[column];
            }
            scale += input[row] * gain[row];
        }
        const double surprise = figure - predict(input);
        for (std::size_t row = 0; row < Size; ++row) {
            m_weights[row] += gain[row] / scale * surprise;
        }
        std::array<features, Size> next = m_covariance;
        for (std::size_t row = 0; row < Size; ++row) {
            for (std::size_t column = 0; column < Size; ++column) {
                next[row][column] = (m_covariance[row][column] - gain[row] * gain[column] / scale) / m_memory;
            }
        }
        m_covariance = next;
    }

    [[nodiscard]] const features& get_weights() const noexcept { return m_weights; }

private:
    features m_weights;
    double m_memory;
    std::array<features, Size> m_covariance{};
};

} // namespace dragonflywell::policy
