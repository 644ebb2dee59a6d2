#include "sardinelead/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace sardinelead {
namespace {

namespace acc = boost::accumulators;

template <typename T>
T* FindSeries(std::map<Labels, std::unique_ptr<T>>* family,
              const Labels& labels) {
  std::unique_ptr<T>& series = (*family)[labels];
  if (series == nullptr) series = std::make_unique<T>();
  return series.get();
}

std::string EscapeLabelValue(const std::string& value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    out += c;
  }
  return out;
}

// Formats labels as `{a="1",b="2"}`; returns an empty string without labels.
std::string FormatLabels(const Labels& labels) {
  if (labels.empty()) return "";
  std::string out;
  for (const auto& [name, value] : labels) {
    out += out.empty() ? "{" : ",";
    out += name + "=\"" + EscapeLabelValue(value) + "\"";
  }
  return out + "}";
}

std::string BucketLines(const std::string& name, const Labels& labels,
                        const Histogram::Summary& summary) {
  std::string out;
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    if (summary.buckets[i] == 0) continue;
    cumulative += summary.buckets[i];
    if (i + 1 == kBucketCount) continue;
    Labels bucket_labels = labels;
    bucket_labels.emplace_back("le",
                               fmt::format("{:.6g}", BucketUpperBound(i)));
    out += fmt::format("{}_bucket{} {}\n", name, FormatLabels(bucket_labels),
                       cumulative);
  }
  Labels last_bucket_labels = labels;
  last_bucket_labels.emplace_back("le", "+Inf");
  return out + fmt::format("{}_bucket{} {}\n", name,
                           FormatLabels(last_bucket_labels), cumulative);
}

}  // namespace

std::size_t BucketIndex(double value) {
  const double lowest = std::ldexp(1.0, kFirstOctave);
  if (!(value > lowest)) return 0;
  const double octaves = std::log2(value) - kFirstOctave;
  const double bucket = std::ceil(octaves * kBucketsPerOctave);
  return std::min(static_cast<std::size_t>(bucket), kBucketCount - 1);
}

double BucketUpperBound(std::size_t bucket) {
  if (bucket + 1 >= kBucketCount) {
    return std::numeric_limits<double>::infinity();
  }
  const double octave = static_cast<double>(bucket) / kBucketsPerOctave;
  return std::exp2(octave + kFirstOctave);
}

void Histogram::Observe(double value) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_accumulators(value);
}

Histogram::Summary Histogram::Read() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Summary summary;
  summary.count = acc::count(m_accumulators);
  if (summary.count == 0) return summary;
  summary.sum = acc::sum(m_accumulators);
  summary.min = acc::min(m_accumulators);
  summary.max = acc::max(m_accumulators);
  summary.buckets = acc::extract_result<LogBucketsTag>(m_accumulators);
  return summary;
}

double Histogram::Summary::Quantile(double q) const {
  const double rank = q * static_cast<double>(count);
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    cumulative += buckets[i];
    if (cumulative == 0 || static_cast<double>(cumulative) < rank) continue;
    return std::min(BucketUpperBound(i), max);
  }
  return max;
}

Counter* Metrics::FindCounter(const std::string& name, const Labels& labels) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return FindSeries(&m_counters[name], labels);
}

Gauge* Metrics::FindGauge(const std::string& name, const Labels& labels) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return FindSeries(&m_gauges[name], labels);
}

Histogram* Metrics::FindHistogram(const std::string& name,
                                  const Labels& labels) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return FindSeries(&m_histograms[name], labels);
}

void Metrics::Describe(const std::string& name, const std::string& help) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_help[name] = help;
}

std::string Metrics::HelpLines(const std::string& name,
                               const char* type) const {
  const auto found = m_help.find(name);
  std::string out;
  if (found != m_help.end()) {
    out = fmt::format("# HELP {} {}\n", name, found->second);
  }
  return out + fmt::format("# TYPE {} {}\n", name, type);
}

std::string Metrics::PrometheusText() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::string out;
  for (const auto& [name, family] : m_counters) {
    out += HelpLines(name, "counter");
    for (const auto& [labels, counter] : family) {
      out += fmt::format("{}{} {}\n", name, FormatLabels(labels),
                         counter->Value());
    }
  }
  for (const auto& [name, family] : m_gauges) {
    out += HelpLines(name, "gauge");
    for (const auto& [labels, gauge] : family) {
      out += fmt::format("{}{} {:.9g}\n", name, FormatLabels(labels),
                         gauge->Value());
    }
  }
  for (const auto& [name, family] : m_histograms) {
    out += HelpLines(name, "histogram");
    for (const auto& [labels, histogram] : family) {
      const Histogram::Summary summary = histogram->Read();
      out += BucketLines(name, labels, summary);
      out += fmt::format("{}_sum{} {:.9g}\n", name, FormatLabels(labels),
                         summary.sum);
      out += fmt::format("{}_count{} {}\n", name, FormatLabels(labels),
                         summary.count);
    }
  }
  return out;
}

std::vector<HistogramSnapshot> Metrics::Histograms() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<HistogramSnapshot> snapshots;
  for (const auto& [name, family] : m_histograms) {
    for (const auto& [labels, histogram] : family) {
      snapshots.push_back({name, labels, histogram->Read()});
    }
  }
  return snapshots;
}

}  // namespace sardinelead
