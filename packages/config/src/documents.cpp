#include "bulrushpitch/config/documents.h"

#include "detail/describe_objects.h"
#include "detail/yaml_tree.h"

#include <algorithm>
#include <set>

namespace bulrushpitch {

namespace detail {

namespace {

/// @brief Reads the files of one set.
class SetReader {
public:
  explicit SetReader(ReadOutcome &Out) : m_Out(Out) {}

  void readFile(const DocumentFile &File) {
    YamlOutcome Read = readYaml(File.m_Text, File.m_File);
    m_HasSyntaxFault |= !Read.m_Faults.empty();
    for (Fault &Found : Read.m_Faults)
      m_Out.m_Faults.push_back(std::move(Found));
    for (YamlDocument &Document : Read.m_Documents)
      readDocument(File.m_File, Document);
  }

  /// Checks the objects against each other. References are not judged if a part of the set could not be read,
  /// because the objects referred to may be in that part.
  void check(const Configuration *Base) {
    for (Fault &Found : checkConfiguration(m_Out.m_Configuration, Base)) {
      if (m_HasSyntaxFault &&
          (Found.m_Code == ErrorCode::UnknownReference || Found.m_Code == ErrorCode::StillReferenced))
        continue;
      if (hasFault(fieldKey(Found)))
        continue;
      place(Found);
      m_Out.m_Faults.push_back(std::move(Found));
    }
  }

private:
  /// Where an object was read.
  struct Origin {
    std::string m_File;
    YamlDocument m_Document;
  };

  static std::string objectKey(const std::string &Kind, const std::string &Name) { return Kind + "/" + Name; }
  static std::string fieldKey(const Fault &Found) {
    return objectKey(Found.m_Kind, Found.m_Name) + "/" + Found.m_Field;
  }

  /// @return whether the field, a field around it or a field inside it already has a fault
  bool hasFault(const std::string &Field) const {
    const auto Inside = m_Faulty.lower_bound(Field + ".");
    if (Inside != m_Faulty.end() && Inside->starts_with(Field + "."))
      return true;
    for (std::string Around = Field;;) {
      if (m_Faulty.contains(Around))
        return true;
      const std::size_t Dot = Around.rfind('.');
      if (Dot == std::string::npos || Dot < Around.rfind('/'))
        return false;
      Around.resize(Dot);
    }
  }

  void place(Fault &Found) const {
    const auto Read = m_Origins.find(objectKey(Found.m_Kind, Found.m_Name));
    if (Read == m_Origins.end())
      return;
    Found.m_File = Read->second.m_File;
    Found.m_Line = Read->second.m_Document.lineOf(Found.m_Field);
  }

  void addFault(const std::string &File, unsigned Line, ErrorCode Code, std::string Field,
                std::string Message, std::string Hint = {}) {
    Fault Found;
    Found.m_Code = Code;
    Found.m_File = File;
    Found.m_Line = Line;
    Found.m_Field = std::move(Field);
    Found.m_Message = std::move(Message);
    Found.m_Hint = std::move(Hint);
    m_Out.m_Faults.push_back(std::move(Found));
  }

  /// Takes the document's kind out, because the objects' field tables do not have it.
  void readDocument(const std::string &File, YamlDocument &Document) {
    if (!Document.m_Value.is_object())
      return addFault(File, Document.lineOf(""), ErrorCode::DocumentSyntax, "",
                      "a document must have fields");
    const auto Found = Document.m_Value.find("kind");
    if (Found == Document.m_Value.end())
      return addFault(File, Document.lineOf(""), ErrorCode::MissingField, "kind", "is missing");
    const std::string Kind = Found->is_string() ? Found->get<std::string>() : dump(*Found);
    const std::vector<std::string> Known = objectKinds();
    if (std::find(Known.begin(), Known.end(), Kind) == Known.end())
      return addFault(File, Document.lineOf("kind"), ErrorCode::BadFieldValue, "kind",
                      "'" + Kind + "' is not a known kind", nearestName(Kind, Known));
    Document.m_Value.erase(Found);
    if (Kind == LimitsKind)
      return readLimits(File, Document);
    forEachKind([&](const char *Each, auto Member) {
      if (Kind == Each)
        readObject(File, Document, Kind, Member);
    });
  }

  template <typename Key, typename T>
  void readObject(const std::string &File, YamlDocument &Document, const std::string &Kind,
                  std::map<Key, T> Configuration::*Member) {
    T Object;
    FaultSink Sink;
    Codec<T>::decode(Document.m_Value, Object, requiredField(""), Sink);
    const Key Id = Object.m_Id;
    const bool IsNew = remember(File, Document, Kind, Id.value(), Sink);
    if (IsNew && !Id.value().empty())
      (m_Out.m_Configuration.*Member).emplace(Id, std::move(Object));
  }

  void readLimits(const std::string &File, YamlDocument &Document) {
    FaultSink Sink;
    const Json Name = Document.m_Value.value("name", Json());
    if (Name != Json(LimitsName)) {
      const FaultSink::Scope Scope(Sink, "name");
      Sink.add(Name.is_null() ? ErrorCode::MissingField : ErrorCode::BadFieldValue,
               std::string("must be '") + LimitsName + "', because the limits hold for the whole system");
    }
    Document.m_Value.erase("name");
    Codec<Limits>::decode(Document.m_Value, m_Out.m_Configuration.m_Limits, requiredField(""), Sink);
    remember(File, Document, LimitsKind, LimitsName, Sink);
  }

  /// Reports the faults of one object and keeps its place.
  /// @return false if another object has the same kind and name
  bool remember(const std::string &File, YamlDocument &Document, const std::string &Kind,
                const std::string &Name, const FaultSink &Sink) {
    for (Fault Found : Sink.faults()) {
      Found.m_File = File;
      Found.m_Line = Document.lineOf(Found.m_Field);
      Found.m_Kind = Kind;
      Found.m_Name = Name;
      m_Faulty.insert(fieldKey(Found));
      m_Out.m_Faults.push_back(std::move(Found));
    }
    const unsigned Line = Document.lineOf("name");
    const auto Placed = m_Origins.emplace(objectKey(Kind, Name), Origin{File, {}});
    if (Placed.second) {
      Document.m_Value = Json(); // Only the lines are needed from here on.
      Placed.first->second.m_Document = std::move(Document);
      return true;
    }
    if (Name.empty())
      return false;
    const Origin &First = Placed.first->second;
    addFault(File, Line, ErrorCode::DuplicateObject, "name",
             "already defined in " + First.m_File + ":" + std::to_string(First.m_Document.lineOf("name")));
    m_Out.m_Faults.back().m_Kind = Kind;
    m_Out.m_Faults.back().m_Name = Name;
    return false;
  }

  ReadOutcome &m_Out;
  std::map<std::string, Origin> m_Origins; ///< By objectKey().
  std::set<std::string> m_Faulty;          ///< Fields that already have a fault, by fieldKey().
  bool m_HasSyntaxFault = false;
};

/// Sorts by the order of the files as given, then by line.
void sortFaults(std::vector<Fault> &Faults, const std::vector<DocumentFile> &Files) {
  std::map<std::string, std::size_t> Order;
  for (const DocumentFile &File : Files)
    Order.emplace(File.m_File, Order.size() + 1);
  std::stable_sort(Faults.begin(), Faults.end(), [&](const Fault &Left, const Fault &Right) {
    const std::size_t LeftOrder = Order[Left.m_File];
    const std::size_t RightOrder = Order[Right.m_File];
    return std::tie(LeftOrder, Left.m_Line) < std::tie(RightOrder, Right.m_Line);
  });
}

template <typename T> void printDocument(const char *Kind, const T &Object, std::string &Out) {
  Out += std::string("---\nkind: ") + Kind + "\n";
  YamlPrinter Printer{Out};
  Describe<T>::apply(Printer, Object);
}

} // namespace

} // namespace detail

ReadOutcome readDocuments(const std::vector<DocumentFile> &Files, const Configuration *Base) {
  ReadOutcome Out;
  detail::SetReader Reader(Out);
  for (const DocumentFile &File : Files)
    Reader.readFile(File);
  Reader.check(Base);
  detail::sortFaults(Out.m_Faults, Files);
  return Out;
}

std::vector<DocumentFile> writeDocuments(const Configuration &Value) {
  std::vector<DocumentFile> Files;
  detail::forEachKind([&](const char *Kind, auto Member) {
    if ((Value.*Member).empty())
      return;
    DocumentFile File{std::string(Kind) + ".yaml", ""};
    for (const auto &Entry : Value.*Member)
      detail::printDocument(Kind, Entry.second, File.m_Text);
    Files.push_back(std::move(File));
  });
  DocumentFile File{std::string(detail::LimitsKind) + ".yaml",
                    std::string("---\nkind: ") + detail::LimitsKind + "\nname: " + detail::LimitsName + "\n"};
  detail::YamlPrinter Printer{File.m_Text};
  detail::Describe<Limits>::apply(Printer, Value.m_Limits);
  Files.push_back(std::move(File));
  return Files;
}

std::vector<std::string> objectKinds() {
  std::vector<std::string> Kinds;
  detail::forEachKind([&](const char *Kind, auto) { Kinds.emplace_back(Kind); });
  Kinds.emplace_back(detail::LimitsKind);
  return Kinds;
}

std::vector<FieldInfo> objectFields(const std::string &Kind) {
  std::vector<FieldInfo> Rows;
  detail::forEachKind([&](const char *Each, auto Member) {
    if (Kind == Each)
      Rows = detail::listFields<typename detail::MapOf<decltype(Member)>::Object>();
  });
  if (Kind == detail::LimitsKind) {
    Rows = detail::listFields<Limits>();
    Rows.insert(Rows.begin(), {"name", detail::LimitsName, "", "", true});
  }
  return Rows;
}

} // namespace bulrushpitch
