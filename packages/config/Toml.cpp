// Header-only build without exceptions in the parser, and with a bound on
// nesting that the packaged shared library does not have.
#undef TOML_HEADER_ONLY
#undef TOML_SHARED_LIB
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
#define TOML_MAX_NESTED_VALUES TOML_DEPTH_MAX

// Some malformed keys reach an assertion of the parser. By default that ends
// a debug build, and is undefined behaviour in a release build (NDEBUG turns
// it into an assumption). Here it throws, and the document is refused.
#undef NDEBUG
#define TOML_ASSERT(expression)                                              \
    ((expression) ? static_cast<void>(0) : fail_assertion(#expression))

#include <stdexcept>
#include <string>

#include "Toml.h"

[[noreturn]] static void
fail_assertion(const char *expression)
{
    throw std::logic_error(std::string("not valid TOML: ") + expression);
}

#include <cmath>
#include <cstdio>
#include <cstring>
#include <deque>
#include <exception>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

struct Toml_ {
    TomlNode root;
    std::deque<std::string> texts;
    std::deque<std::vector<TomlNode>> children;
};

static void
set_fault(TomlFault *fault, uint32_t line, uint32_t column, const char *text)
{
    if (fault == nullptr) {
        return;
    }
    fault->line = line;
    fault->column = column;
    snprintf(fault->text, sizeof(fault->text), "%s", text);
    for (char *p = fault->text; *p != '\0'; p++) {
        if (static_cast<unsigned char>(*p) < 0x20) {
            *p = ' ';
        }
    }
}

// Refuses lines with so many dots that their keys could nest too deeply.
static bool
check_dots(Str text, TomlFault *fault)
{
    uint32_t line = 1;
    uint32_t dots = 0;

    for (size_t i = 0; i < text.length; i++) {
        if (text.data[i] == '\n') {
            line++;
            dots = 0;
        }
        if (text.data[i] == '.' && ++dots > TOML_LINE_DOTS_MAX) {
            set_fault(fault, line, 0,
                      "too many dots in one line; split the line");
            return false;
        }
    }
    return true;
}

static Str
keep_text(Toml *document, std::string_view text)
{
    document->texts.emplace_back(text);
    const std::string &kept = document->texts.back();
    return Str{kept.data(), kept.size()};
}

static bool convert(Toml *document, const toml::node &from, TomlNode *to,
                    int depth, TomlFault *fault);

static void
set_position(TomlNode *node, const toml::source_region &source)
{
    node->line = static_cast<uint32_t>(source.begin.line);
    node->column = static_cast<uint32_t>(source.begin.column);
}

static bool
convert_table(Toml *document, const toml::table &table, TomlNode *to,
              int depth, TomlFault *fault)
{
    document->children.emplace_back(table.size());
    std::vector<TomlNode> &list = document->children.back();
    size_t i = 0;

    to->type = TOML_TABLE;
    to->children = list.data();
    to->count = list.size();
    for (auto &&[key, value] : table) {
        TomlNode *child = &list[i++];

        if (!convert(document, value, child, depth + 1, fault)) {
            return false;
        }
        child->key = keep_text(document, key.str());
        if (key.source().begin.line != 0) {
            set_position(child, key.source());
        }
    }
    return true;
}

static bool
convert_array(Toml *document, const toml::array &array, TomlNode *to,
              int depth, TomlFault *fault)
{
    document->children.emplace_back(array.size());
    std::vector<TomlNode> &list = document->children.back();

    to->type = TOML_ARRAY;
    to->children = list.data();
    to->count = list.size();
    for (size_t i = 0; i < array.size(); i++) {
        if (!convert(document, array[i], &list[i], depth + 1, fault)) {
            return false;
        }
    }
    return true;
}

static void
convert_value(Toml *document, const toml::node &from, TomlNode *to)
{
    to->type = TOML_OTHER;
    if (auto text = from.as_string()) {
        to->type = TOML_STRING;
        to->text = keep_text(document, text->get());
    }
    else if (auto integer = from.as_integer()) {
        to->type = TOML_INTEGER;
        to->integer = integer->get();
        to->real = static_cast<double>(to->integer);
    }
    else if (auto real = from.as_floating_point()) {
        to->type = TOML_REAL;
        to->real = real->get();
    }
    else if (auto boolean = from.as_boolean()) {
        to->type = TOML_BOOLEAN;
        to->integer = boolean->get() ? 1 : 0;
    }
}

static bool
convert(Toml *document, const toml::node &from, TomlNode *to, int depth,
        TomlFault *fault)
{
    *to = TomlNode();
    set_position(to, from.source());
    if (depth > TOML_DEPTH_MAX) {
        set_fault(fault, to->line, to->column, "nested too deeply");
        return false;
    }
    if (auto table = from.as_table()) {
        return convert_table(document, *table, to, depth, fault);
    }
    if (auto array = from.as_array()) {
        return convert_array(document, *array, to, depth, fault);
    }
    convert_value(document, from, to);
    return true;
}

static Toml *
parse(Str text, TomlFault *fault)
{
    toml::parse_result result = toml::parse(
        std::string_view(text.length ? text.data : "", text.length));

    if (!result) {
        const toml::parse_error &error = result.error();
        std::string reason(error.description());

        set_fault(fault, static_cast<uint32_t>(error.source().begin.line),
                  static_cast<uint32_t>(error.source().begin.column),
                  reason.c_str());
        return nullptr;
    }
    Toml *document = new Toml();
    if (!convert(document, result.table(), &document->root, 0, fault)) {
        delete document;
        return nullptr;
    }
    return document;
}

extern "C" Toml *
Toml_Parse(Str text, TomlFault *fault)
{
    if (!check_dots(text, fault)) {
        return nullptr;
    }
    try {
        return parse(text, fault);
    }
    catch (const std::exception &error) {
        set_fault(fault, 0, 0, error.what());
        return nullptr;
    }
    catch (...) {
        set_fault(fault, 0, 0, "can not be parsed");
        return nullptr;
    }
}

extern "C" void
Toml_Destroy(Toml *document)
{
    delete document;
}

extern "C" const TomlNode *
Toml_Root(const Toml *document)
{
    return &document->root;
}

extern "C" const TomlNode *
Toml_Find(const TomlNode *node, Str key)
{
    if (node == nullptr || node->type != TOML_TABLE) {
        return nullptr;
    }
    for (size_t i = 0; i < node->count; i++) {
        if (std::string_view(node->children[i].key.data,
                             node->children[i].key.length) ==
            std::string_view(key.length ? key.data : "", key.length)) {
            return &node->children[i];
        }
    }
    return nullptr;
}

extern "C" const char *
Toml_TypeName(TomlType type)
{
    static const char *const names[] = {"table",          "array",
                                        "string",         "integer",
                                        "number",         "true or false",
                                        "date or a time"};

    return names[type];
}
