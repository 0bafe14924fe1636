#pragma once

#include <array>
#include <cstddef>

namespace dragonflywell::policy {

/// Recursive least squares with exponential forgetting: learns the weights of a linear model from observations.
/// Not thread safe.
template <std::size_t Size>
class least_squares {
public:
    using features = std::array<double, Size>;

    /// `initial`: the weights before the first observation. `deviation`: their standard deviations.
    /// `forgetting_factor`: the forgetting factor, by which each observation reduces the influence of the earlier ones;
    /// below 1.
    least_squares(const features& initial, const features& deviation, double forgetting_factor)
        : m_weights(initial), m_forgetting_factor(forgetting_factor) {
        for (std::size_t index = 0; index < Size; ++index) {
            m_covariance[index][index] = deviation[index] * deviation[index];
        }
    }

    [[nodiscard]] double predict(const features& input) const {
        double sum = 0;
        for (std::size_t index = 0; index < Size; ++index) {
            sum += m_weights[index] * input[index];
        }
        return sum;
    }

    /// Adds an observation. `noise`: standard deviation of the observed value, in its unit.
    void observe(const features& input, double figure, double noise) {
        features gain{};
        double scale = noise * noise;
        for (std::size_t row = 0; row < Size; ++row) {
            for (std::size_t column = 0; column < Size; ++column) {
                gain[row] += m_covariance[row][column] * input[column];
            }
            scale += input[row] * gain[row];
        }
        const double residual = figure - predict(input);
        for (std::size_t row = 0; row < Size; ++row) {
            m_weights[row] += gain[row] / scale * residual;
        }
        std::array<features, Size> next = m_covariance;
        for (std::size_t row = 0; row < Size; ++row) {
            for (std::size_t column = 0; column < Size; ++column) {
                next[row][column] =
                    (m_covariance[row][column] - gain[row] * gain[column] / scale) / m_forgetting_factor;
            }
        }
        m_covariance = next;
    }

    [[nodiscard]] const features& get_weights() const noexcept { return m_weights; }

private:
    features m_weights;
    double m_forgetting_factor;
    std::array<features, Size> m_covariance{};
};

} // namespace dragonflywell::policy
