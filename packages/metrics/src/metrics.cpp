#include "bulrushpitch/metrics/metrics.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <stdexcept>
#include <string_view>
#include <variant>

namespace bulrushpitch {

namespace {

/// One series. The variant's index is its kind.
using Series = std::variant<Counter, Gauge, std::unique_ptr<Distribution>>;

constexpr std::array<const char *, 3> kindNames{"counter", "gauge", "summary"};

struct Family {
  std::string m_Help;
  std::size_t m_Kind = 0;
  std::vector<std::string> m_LabelNames;
  std::map<std::vector<std::string>, std::unique_ptr<Series>> m_Series; ///< By label values.
};

bool isName(std::string_view Text) {
  return !Text.empty() && Text[0] >= 'a' && Text[0] <= 'z' &&
         std::all_of(Text.begin(), Text.end(), [](char Byte) {
           return (Byte >= 'a' && Byte <= 'z') || (Byte >= '0' && Byte <= '9') || Byte == '_';
         });
}

void checkName(const std::string &Name, std::size_t Kind) {
  static const std::array<std::vector<std::string_view>, 3> Endings{
      {{"_total"}, {"_bytes", "_seconds", "_ratio", "_count", "_info"}, {"_seconds"}}};
  const bool HasUnit = std::any_of(Endings[Kind].begin(), Endings[Kind].end(),
                                   [&Name](std::string_view Ending) { return Name.ends_with(Ending); });
  if (!isName(Name) || !HasUnit)
    throw std::invalid_argument("'" + Name + "' is not a name for a " + kindNames[Kind]);
}

/// Escapes a label value; help texts keep their quotes.
std::string escaped(const std::string &Text, bool Quotes) {
  std::string Result;
  for (const char Byte : Text) {
    if (Byte == '\\')
      Result += "\\\\";
    else if (Byte == '\n')
      Result += "\\n";
    else if (Byte == '"' && Quotes)
      Result += "\\\"";
    else
      Result += Byte;
  }
  return Result;
}

std::string numberText(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  std::array<char, 40> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.9g", Value);
  return Buffer.data();
}

std::string labelText(const Family &From, const std::vector<std::string> &Values,
                      const std::string &Quantile) {
  std::string Text;
  for (std::size_t Index = 0; Index < Values.size(); ++Index)
    Text += (Index == 0 ? "" : ",") + From.m_LabelNames[Index] + "=\"" + escaped(Values[Index], true) + '"';
  if (!Quantile.empty())
    Text += (Text.empty() ? "" : ",") + std::string("quantile=\"") + Quantile + '"';
  return Text.empty() ? Text : "{" + Text + "}";
}

std::string renderDistribution(const std::string &Name, const Family &From,
                               const std::vector<std::string> &Values, const Distribution &Shown) {
  std::string Text;
  const std::array<double, Distribution::quantiles.size() + 1> Recent = Shown.recent();
  for (std::size_t Index = 0; Index < Recent.size(); ++Index) {
    const std::string Quantile =
        Index < Distribution::quantiles.size() ? numberText(Distribution::quantiles[Index]) : "1";
    Text += Name + labelText(From, Values, Quantile) + " " + numberText(Recent[Index]) + "\n";
  }
  Text += Name + "_sum" + labelText(From, Values, "") + " " + numberText(Shown.sum()) + "\n";
  Text += Name + "_count" + labelText(From, Values, "") + " " + std::to_string(Shown.count()) + "\n";
  return Text;
}

} // namespace

class Metrics::Impl {
public:
  Impl(ClockHook Clock, std::size_t MaxSeries) : m_Clock(std::move(Clock)), m_MaxSeries(MaxSeries) {}

  Series &find(const std::string &Name, const std::string &Help, const MetricLabels &Labels,
               std::size_t Kind) {
    std::vector<std::string> Names;
    std::vector<std::string> Values;
    for (const std::pair<std::string, std::string> &Label : Labels) {
      Names.push_back(Label.first);
      Values.push_back(Label.second);
    }
    Family &Found = family(Name, Help, std::move(Names), Kind);
    const auto Known = Found.m_Series.find(Values);
    if (Known != Found.m_Series.end())
      return *Known->second;
    // The series that others share counts as one, so the last free place is kept for it.
    if (!Values.empty() && Found.m_Series.size() + 1 >= m_MaxSeries)
      std::fill(Values.begin(), Values.end(), "other");
    std::unique_ptr<Series> &Made = Found.m_Series[Values];
    if (!Made)
      Made = make(Kind);
    return *Made;
  }

  std::string render() const {
    std::string Text;
    for (const std::pair<const std::string, Family> &Item : m_Families) {
      const std::string &Name = Item.first;
      const Family &From = Item.second;
      Text += "# HELP " + Name + " " + escaped(From.m_Help, false) + "\n# TYPE " + Name + " " +
              kindNames[From.m_Kind] + "\n";
      for (const std::pair<const std::vector<std::string>, std::unique_ptr<Series>> &Entry : From.m_Series) {
        if (const Counter *Number = std::get_if<Counter>(Entry.second.get()))
          Text += Name + labelText(From, Entry.first, "") + " " + std::to_string(Number->value()) + "\n";
        else if (const Gauge *Level = std::get_if<Gauge>(Entry.second.get()))
          Text += Name + labelText(From, Entry.first, "") + " " + numberText(Level->value()) + "\n";
        else
          Text += renderDistribution(Name, From, Entry.first,
                                     *std::get<std::unique_ptr<Distribution>>(*Entry.second));
      }
    }
    return Text;
  }

private:
  Family &family(const std::string &Name, const std::string &Help, std::vector<std::string> LabelNames,
                 std::size_t Kind) {
    const auto Known = m_Families.find(Name);
    if (Known == m_Families.end()) {
      checkName(Name, Kind);
      for (const std::string &Label : LabelNames)
        if (!isName(Label) || Label == "quantile")
          throw std::invalid_argument("'" + Label + "' is not a name for a label");
      return m_Families.emplace(Name, Family{Help, Kind, std::move(LabelNames), {}}).first->second;
    }
    if (Known->second.m_Kind != Kind || Known->second.m_LabelNames != LabelNames)
      throw std::invalid_argument("'" + Name + "' exists as another kind or with other label names");
    return Known->second;
  }

  std::unique_ptr<Series> make(std::size_t Kind) const {
    if (Kind == 0)
      return std::make_unique<Series>(Counter());
    if (Kind == 1)
      return std::make_unique<Series>(Gauge());
    return std::make_unique<Series>(std::make_unique<Distribution>(m_Clock));
  }

  ClockHook m_Clock;
  std::size_t m_MaxSeries;
  std::map<std::string, Family> m_Families;
};

Metrics::Metrics(ClockHook Clock, std::size_t MaxSeries)
    : m_Impl(std::make_unique<Impl>(std::move(Clock), MaxSeries)) {}
Metrics::~Metrics() = default;

Counter &Metrics::counter(const std::string &Name, const std::string &Help, const MetricLabels &Labels) {
  return std::get<Counter>(m_Impl->find(Name, Help, Labels, 0));
}

Gauge &Metrics::gauge(const std::string &Name, const std::string &Help, const MetricLabels &Labels) {
  return std::get<Gauge>(m_Impl->find(Name, Help, Labels, 1));
}

Distribution &Metrics::distribution(const std::string &Name, const std::string &Help,
                                    const MetricLabels &Labels) {
  return *std::get<std::unique_ptr<Distribution>>(m_Impl->find(Name, Help, Labels, 2));
}

std::string Metrics::render() const { return m_Impl->render(); }

} // namespace bulrushpitch
